/*
 * Measures the CPU time, the memory and the message sizes of a daemon's control plane at
 * several fleet sizes, in one process and without I/O. Prints CSV: role, quantity, daemons,
 * databases, value, unit. docs/CAPACITY.md is calculated from this output and from the other output
 * of "make slopes".
 */

#include "jh_frame.h"
#include "jh_placement.h"
#include "jh_record.h"
#include "jh_session.h"
#include "jh_tables.h"
#include "jh_token.h"

#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/* Shape of the generated configuration, which also has one team for each database. */
#define MEMBERS_PER_GROUP 3u
#define ROUTES_PER_GROUP 2u

#define RECORD_LINE_BYTES 300u
#define LOOKUP_ROUNDS 200000u
#define TOKEN_ROUNDS 20000u

typedef struct fleet_size {
	unsigned daemons;
	unsigned databases;
} fleet_size_t;

static const fleet_size_t fleet_sizes[] = { { 7, 9 }, { 70, 78 }, { 340, 384 }, { 680, 771 } };

/* Results of the measured calls are added here, so that the compiler cannot remove the calls. */
static volatile uintptr_t result_sink;

/* Return: CPU time that this process has used, in microseconds */
static double process_cpu_us(void)
{
	struct timespec cpu_time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpu_time);
	return (double)cpu_time.tv_sec * 1e6 + (double)cpu_time.tv_nsec / 1e3;
}

static void result_print(const char *role, const char *quantity, const fleet_size_t *size,
			 double value, const char *unit)
{
	printf("%s,%s,%u,%u,%.3f,%s\n", role, quantity, size->daemons, size->databases, value,
	       unit);
}

/* Configuration */

static char *routes_json_new(unsigned group_count)
{
	GString *json = g_string_new("{\"routes\":[");
	unsigned i;

	for (i = 0; i < group_count * ROUTES_PER_GROUP; i++)
		g_string_append_printf(
			json,
			"%s{\"name\":\"route-%u\",\"group\":\"group-%u\",\"access\":\"%s\","
			"\"repeatable\":true,\"max_age_ms\":-1,\"deadline_ms\":5000,"
			"\"open_to_all\":false,\"teams\":[\"team-%u\",\"team-%u\"]}",
			i ? "," : "", i, i / ROUTES_PER_GROUP, i % 2 ? "read" : "write", i,
			(i + 1) % (group_count * MEMBERS_PER_GROUP));
	g_string_append(json, "],\"teams\":[");
	for (i = 0; i < group_count * MEMBERS_PER_GROUP; i++)
		g_string_append_printf(json,
				       "%s{\"name\":\"team-%u\",\"rate\":100.5,\"burst\":200.5,"
				       "\"weight\":1.5,\"key_digests\":[\"%064x\"]}",
				       i ? "," : "", i, i);
	g_string_append(json, "]}");
	return g_string_free(json, FALSE);
}

static char *pools_json_new(unsigned group_count)
{
	GString *json = g_string_new("{\"groups\":[");
	unsigned i;
	unsigned j;

	for (i = 0; i < group_count; i++) {
		g_string_append_printf(
			json,
			"%s{\"name\":\"group-%u\",\"dbname\":\"g\",\"user\":\"u\",\"databases\":[",
			i ? "," : "", i);
		for (j = 0; j < MEMBERS_PER_GROUP; j++)
			g_string_append_printf(
				json,
				"%s{\"name\":\"database-%u-%u\",\"dc\":\"dc-%u\",\"host\":\"10.0.%u.%u\","
				"\"port\":5432,\"slots\":5,\"connections\":30,\"departing\":false}",
				j ? "," : "", i, j, (i + j) % 7, i % 250,
				i / 250 * MEMBERS_PER_GROUP + j);
		g_string_append(json, "]}");
	}
	g_string_append(json, "]}");
	return g_string_free(json, FALSE);
}

static void config_lookups_measure(const jh_config_t *config, unsigned group_count,
				   const fleet_size_t *size)
{
	const unsigned route_count = MAX(1u, group_count * ROUTES_PER_GROUP);
	const unsigned team_count = MAX(1u, group_count * MEMBERS_PER_GROUP);
	double start_cpu_us = process_cpu_us();
	char name[32];
	unsigned i;

	for (i = 0; i < LOOKUP_ROUNDS; i++) {
		g_snprintf(name, sizeof(name), "route-%u", i % route_count);
		result_sink += (uintptr_t)jh_config_find_route(config, name);
		g_snprintf(name, sizeof(name), "team-%u", i % team_count);
		result_sink += (uintptr_t)jh_config_find_team(config, name);
	}
	result_print("configuration", "look-ups of a statement", size,
		     (process_cpu_us() - start_cpu_us) / LOOKUP_ROUNDS, "us");
}

static void config_measure(const fleet_size_t *size)
{
	unsigned group_count = size->databases / MEMBERS_PER_GROUP;
	char *routes_json = routes_json_new(group_count);
	char *pools_json = pools_json_new(group_count);
	size_t heap_bytes_before = mallinfo2().uordblks;
	jh_error_t err = JH_ERROR_INIT;
	double start_cpu_us = process_cpu_us();
	jh_config_t *config = jh_tables_parse(routes_json, strlen(routes_json), pools_json,
					      strlen(pools_json), &err);

	if (!config)
		g_error("%s", jh_error_format(&err));
	result_print("configuration", "reading and checking both tables", size,
		     process_cpu_us() - start_cpu_us, "us");
	result_print("configuration", "text of both tables", size,
		     (double)(strlen(routes_json) + strlen(pools_json)), "bytes");
	result_print("configuration", "tables in memory", size,
		     (double)(mallinfo2().uordblks - heap_bytes_before), "bytes");
	config_lookups_measure(config, group_count, size);
	jh_config_unref(config);
	g_free(routes_json);
	g_free(pools_json);
}

/* Placement */

static GPtrArray *vm_list_new(unsigned count)
{
	GPtrArray *vms = g_ptr_array_new_with_free_func(jh_vm_free);
	unsigned i;

	for (i = 0; i < count; i++) {
		jh_vm_t vm = { .host = "10.0.0.1", .state = JH_VM_LIVE };

		vm.name = g_strdup_printf("vm-%u", i);
		vm.dc = g_strdup_printf("dc-%u", i % 7);
		g_ptr_array_add(vms, jh_vm_copy(&vm));
		g_free(vm.name);
		g_free(vm.dc);
	}
	return vms;
}

static void placement_measure(const fleet_size_t *size)
{
	size_t heap_bytes_before = mallinfo2().uordblks;
	GPtrArray *vms = vm_list_new(size->daemons);
	double start_cpu_us;
	char key[32];
	char dc[16];
	unsigned i;

	result_print("membership", "list of VMs in memory", size,
		     (double)(mallinfo2().uordblks - heap_bytes_before), "bytes");
	start_cpu_us = process_cpu_us();
	for (i = 0; i < size->databases; i++) {
		g_snprintf(key, sizeof(key), "database:database-%u-%u", i / MEMBERS_PER_GROUP,
			   i % MEMBERS_PER_GROUP);
		g_snprintf(dc, sizeof(dc), "dc-%u", i % 7);
		result_sink += (uintptr_t)jh_placement_choose(vms, key, dc);
	}
	result_print("owner", "placing every database after a change of VMs", size,
		     process_cpu_us() - start_cpu_us, "us");
	g_ptr_array_free(vms, TRUE);
}

/* Session tokens and frames */

static void token_measure(const fleet_size_t *size, unsigned group_count)
{
	uint8_t key[JH_CLUSTER_KEY_BYTES] = { 1 };
	jh_session_t session = { 0 };
	jh_error_t err = JH_ERROR_INIT;
	char quantity[64];
	char *token;
	double start_cpu_us;
	unsigned i;

	for (i = 0; i < group_count; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "group-%u", i);
		jh_session_advance(&session, name, (jh_position_t){ .term = 7, .index = 1000000 });
	}
	token = jh_token_encode(&session, key);
	g_snprintf(quantity, sizeof(quantity), "token of a session that wrote to %u groups",
		   group_count);
	result_print("entry", quantity, size, (double)strlen(token), "bytes");
	start_cpu_us = process_cpu_us();
	for (i = 0; i < TOKEN_ROUNDS; i++) {
		jh_session_t decoded = { 0 };
		char *encoded;

		jh_token_decode(token, key, &decoded, &err);
		encoded = jh_token_encode(&decoded, key);
		g_free(encoded);
		jh_session_clear(&decoded);
	}
	result_print("entry", "opening and sealing it", size,
		     (process_cpu_us() - start_cpu_us) / TOKEN_ROUNDS, "us");
	g_free(token);
	jh_session_clear(&session);
}

/* Takes ownership of @frame. Return: length of the packed frame in bytes */
static size_t frame_packed_length(Jh__Frame *frame)
{
	GByteArray *packed = g_byte_array_new();
	size_t length;

	frame->hlc = UINT64_C(1) << 62;
	jh_frame_pack(frame, packed);
	length = packed->len;
	g_byte_array_free(packed, TRUE);
	jh_frame_free(frame);
	return length;
}

static Jh__Frame *group_view_frame_new(void)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_GROUP_VIEW);
	Jh__GroupView *view = frame->group_view;
	unsigned i;

	view->group = jh_frame_strdup("group-123");
	view->primary = jh_frame_strdup("database-123-1");
	view->term = 7;
	view->version = 1000000;
	view->n_databases = MEMBERS_PER_GROUP;
	view->databases = g_new0(Jh__DatabaseView *, MEMBERS_PER_GROUP);
	for (i = 0; i < MEMBERS_PER_GROUP; i++) {
		Jh__DatabaseView *database = g_new0(Jh__DatabaseView, 1);

		jh__database_view__init(database);
		database->name = jh_frame_strdup("database-123-1");
		database->reachable = TRUE;
		database->term = database->held_term = database->promised_term = 7;
		database->index = database->held_index = 1000000;
		database->age_ms = 40;
		database->silent_ms = 12;
		view->databases[i] = database;
	}
	return frame;
}

static Jh__Frame *record_put_frame_new(void)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_RECORD_PUT);
	static const char line[] =
		"hlc=01a23defeb050000 vm=vm-123 team=nairobi-sangat route=roster session=4294967296 "
		"request=123456 group=langar-db-1 database=langar-db-1-nairobi term=7 index=1000000 "
		"rows=12 digest=0123456789abcdef0123456789abcdef outcome=done";

	frame->record_put->vm = jh_frame_strdup("vm-123");
	frame->record_put->boot = UINT64_C(1) << 62;
	frame->record_put->sequence = 1000000;
	frame->record_put->entry.data = g_memdup2(line, sizeof(line));
	frame->record_put->entry.len = sizeof(line);
	return frame;
}

/* Audit record */

/*
 * Appends @count record lines, one for each response. The backup VM acknowledges each line, but
 * none of them is stored, so that all stay in memory.
 */
static void record_measure(unsigned count)
{
	const fleet_size_t size = { 7, 9 };
	jh_vm_t vms[] = { { .name = "vm-0", .dc = "a" }, { .name = "vm-1", .dc = "b" } };
	GPtrArray *vm_list = g_ptr_array_new();
	size_t heap_bytes_before = mallinfo2().uordblks;
	/* No limit. The log multiplies the limit by a percentage, so INT64_MAX would overflow. */
	jh_record_log_t *log = jh_record_log_new("vm-0", 1, INT64_MAX / 200);
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(jh_record_action_t));
	char *line = g_strnfill(RECORD_LINE_BYTES, 'x');
	char quantity[64];
	double start_cpu_us;
	unsigned i;

	g_ptr_array_add(vm_list, &vms[0]);
	g_ptr_array_add(vm_list, &vms[1]);
	jh_record_log_set_vms(log, vm_list);
	start_cpu_us = process_cpu_us();
	for (i = 0; i < count; i++) {
		jh_record_log_append(log, line, 1, i, i, actions);
		jh_record_log_on_ack(log, "vm-1", 1, i + 1, false, actions);
		g_array_set_size(actions, 0);
	}
	g_snprintf(quantity, sizeof(quantity), "numbering and releasing one of %u answers", count);
	result_print("record", quantity, &size, (process_cpu_us() - start_cpu_us) / count, "us");
	g_snprintf(quantity, sizeof(quantity), "memory of one of %u answers not stored", count);
	result_print("record", quantity, &size,
		     (double)(mallinfo2().uordblks - heap_bytes_before) / count, "bytes");
	g_free(line);
	g_array_free(actions, TRUE);
	g_ptr_array_free(vm_list, TRUE);
	jh_record_log_free(log);
}

int main(void)
{
	unsigned i;

	if (sodium_init() < 0)
		return 1;
	puts("role,quantity,daemons,databases,value,unit");
	for (i = 0; i < G_N_ELEMENTS(fleet_sizes); i++) {
		config_measure(&fleet_sizes[i]);
		placement_measure(&fleet_sizes[i]);
	}
	token_measure(&fleet_sizes[0], 1);
	token_measure(&fleet_sizes[0], 8);
	token_measure(&fleet_sizes[0], 64);
	record_measure(1000);
	record_measure(10000);
	record_measure(100000);
	result_print("coordinator", "a view of one group", &fleet_sizes[0],
		     (double)frame_packed_length(group_view_frame_new()), "bytes");
	result_print("record", "copy of one answer's record", &fleet_sizes[0],
		     (double)frame_packed_length(record_put_frame_new()), "bytes");
	return 0;
}
