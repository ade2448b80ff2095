/*
 * slopes: what a daemon's control work costs at growing sizes, in process and without I/O.
 * Prints CSV: role, quantity, daemons, databases, value, unit. docs/CAPACITY.md is worked out from
 * these figures and from those of the simulations beside it (make slopes).
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

/* Groups of three; per group two routes, and a team for each database. */
#define MEMBERS 3u
#define ROUTES_A_GROUP 2u

#define RECORD_LINE_BYTES 300u
#define LOOKUPS 200000u
#define TOKENS 20000u

typedef struct fleet_size {
	unsigned daemons;
	unsigned databases;
} fleet_size_t;

static const fleet_size_t sizes[] = { { 7, 9 }, { 70, 78 }, { 340, 384 }, { 680, 771 } };

static volatile uintptr_t sink;

static double cpu_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static void report(const char *role, const char *quantity, const fleet_size_t *size, double value,
		   const char *unit)
{
	printf("%s,%s,%u,%u,%.3f,%s\n", role, quantity, size->daemons, size->databases, value,
	       unit);
}

/* ---- configuration ---- */

static char *routes_text(unsigned groups)
{
	GString *text = g_string_new("{\"routes\":[");
	unsigned i;

	for (i = 0; i < groups * ROUTES_A_GROUP; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"route-%u\",\"group\":\"group-%u\",\"access\":\"%s\","
			"\"repeatable\":true,\"max_age_ms\":-1,\"deadline_ms\":5000,"
			"\"open_to_all\":false,\"teams\":[\"team-%u\",\"team-%u\"]}",
			i ? "," : "", i, i / ROUTES_A_GROUP, i % 2 ? "read" : "write", i,
			(i + 1) % (groups * MEMBERS));
	g_string_append(text, "],\"teams\":[");
	for (i = 0; i < groups * MEMBERS; i++)
		g_string_append_printf(text,
				       "%s{\"name\":\"team-%u\",\"rate\":100.5,\"burst\":200.5,"
				       "\"weight\":1.5,\"key_digests\":[\"%064x\"]}",
				       i ? "," : "", i, i);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static char *pools_text(unsigned groups)
{
	GString *text = g_string_new("{\"groups\":[");
	unsigned i;
	unsigned j;

	for (i = 0; i < groups; i++) {
		g_string_append_printf(
			text,
			"%s{\"name\":\"group-%u\",\"dbname\":\"g\",\"user\":\"u\",\"databases\":[",
			i ? "," : "", i);
		for (j = 0; j < MEMBERS; j++)
			g_string_append_printf(
				text,
				"%s{\"name\":\"database-%u-%u\",\"dc\":\"dc-%u\",\"host\":\"10.0.%u.%u\","
				"\"port\":5432,\"slots\":5,\"connections\":30,\"departing\":false}",
				j ? "," : "", i, j, (i + j) % 7, i % 250, i / 250 * MEMBERS + j);
		g_string_append(text, "]}");
	}
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static void lookups_measure(const jh_config_t *config, unsigned groups, const fleet_size_t *size)
{
	const unsigned routes = MAX(1u, groups * ROUTES_A_GROUP);
	const unsigned teams = MAX(1u, groups * MEMBERS);
	double start = cpu_us();
	char name[32];
	unsigned i;

	for (i = 0; i < LOOKUPS; i++) {
		g_snprintf(name, sizeof(name), "route-%u", i % routes);
		sink += (uintptr_t)jh_config_find_route(config, name);
		g_snprintf(name, sizeof(name), "team-%u", i % teams);
		sink += (uintptr_t)jh_config_find_team(config, name);
	}
	report("configuration", "look-ups of a statement", size, (cpu_us() - start) / LOOKUPS,
	       "us");
}

static void config_measure(const fleet_size_t *size)
{
	unsigned groups = size->databases / MEMBERS;
	char *routes = routes_text(groups);
	char *pools = pools_text(groups);
	size_t before = mallinfo2().uordblks;
	jh_error_t err = JH_ERROR_INIT;
	double start = cpu_us();
	jh_config_t *config = jh_tables_parse(routes, strlen(routes), pools, strlen(pools), &err);

	if (!config)
		g_error("%s", jh_error_format(&err));
	report("configuration", "reading and checking both tables", size, cpu_us() - start, "us");
	report("configuration", "text of both tables", size,
	       (double)(strlen(routes) + strlen(pools)), "bytes");
	report("configuration", "tables in memory", size, (double)(mallinfo2().uordblks - before),
	       "bytes");
	lookups_measure(config, groups, size);
	jh_config_unref(config);
	g_free(routes);
	g_free(pools);
}

/* ---- placement ---- */

static GPtrArray *vms_new(unsigned count)
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
	size_t before = mallinfo2().uordblks;
	GPtrArray *vms = vms_new(size->daemons);
	double start;
	char key[32];
	char dc[16];
	unsigned i;

	report("membership", "list of VMs in memory", size, (double)(mallinfo2().uordblks - before),
	       "bytes");
	start = cpu_us();
	for (i = 0; i < size->databases; i++) {
		g_snprintf(key, sizeof(key), "database:database-%u-%u", i / MEMBERS, i % MEMBERS);
		g_snprintf(dc, sizeof(dc), "dc-%u", i % 7);
		sink += (uintptr_t)jh_placement_choose(vms, key, dc);
	}
	report("owner", "placing every database after a change of VMs", size, cpu_us() - start,
	       "us");
	g_ptr_array_free(vms, TRUE);
}

/* ---- tokens and frames ---- */

static void token_measure(const fleet_size_t *size, unsigned groups)
{
	uint8_t key[JH_CLUSTER_KEY_BYTES] = { 1 };
	jh_session_t session = { 0 };
	jh_error_t err = JH_ERROR_INIT;
	char quantity[64];
	char *token;
	double start;
	unsigned i;

	for (i = 0; i < groups; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "group-%u", i);
		jh_session_advance(&session, name, (jh_position_t){ .term = 7, .index = 1000000 });
	}
	token = jh_token_encode(&session, key);
	g_snprintf(quantity, sizeof(quantity), "token of a session that wrote to %u groups",
		   groups);
	report("entry", quantity, size, (double)strlen(token), "bytes");
	start = cpu_us();
	for (i = 0; i < TOKENS; i++) {
		jh_session_t opened = { 0 };
		char *sealed;

		jh_token_decode(token, key, &opened, &err);
		sealed = jh_token_encode(&opened, key);
		g_free(sealed);
		jh_session_clear(&opened);
	}
	report("entry", "opening and sealing it", size, (cpu_us() - start) / TOKENS, "us");
	g_free(token);
	jh_session_clear(&session);
}

static size_t frame_bytes(Jh__Frame *frame)
{
	GByteArray *out = g_byte_array_new();
	size_t length;

	frame->hlc = UINT64_C(1) << 62;
	jh_frame_pack(frame, out);
	length = out->len;
	g_byte_array_free(out, TRUE);
	jh_frame_free(frame);
	return length;
}

static Jh__Frame *group_view_frame(void)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_GROUP_VIEW);
	Jh__GroupView *view = frame->group_view;
	unsigned i;

	view->group = jh_frame_strdup("group-123");
	view->primary = jh_frame_strdup("database-123-1");
	view->term = 7;
	view->version = 1000000;
	view->n_databases = MEMBERS;
	view->databases = g_new0(Jh__DatabaseView *, MEMBERS);
	for (i = 0; i < MEMBERS; i++) {
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

static Jh__Frame *record_frame(void)
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

/* ---- record ---- */

/* Let @count answers of one VM be held by its second, which acknowledges each. */
static void record_measure(unsigned count)
{
	const fleet_size_t size = { 7, 9 };
	jh_vm_t vms[] = { { .name = "vm-0", .dc = "a" }, { .name = "vm-1", .dc = "b" } };
	GPtrArray *list = g_ptr_array_new();
	size_t before = mallinfo2().uordblks;
	jh_record_log_t *log = jh_record_log_new("vm-0", 1, INT64_MAX / 200);
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(jh_record_action_t));
	char *line = g_strnfill(RECORD_LINE_BYTES, 'x');
	char quantity[64];
	double start;
	unsigned i;

	g_ptr_array_add(list, &vms[0]);
	g_ptr_array_add(list, &vms[1]);
	jh_record_log_set_vms(log, list);
	start = cpu_us();
	for (i = 0; i < count; i++) {
		jh_record_log_append(log, line, 1, i, i, actions);
		jh_record_log_on_ack(log, "vm-1", 1, i + 1, false, actions);
		g_array_set_size(actions, 0);
	}
	g_snprintf(quantity, sizeof(quantity), "numbering and releasing one of %u answers", count);
	report("record", quantity, &size, (cpu_us() - start) / count, "us");
	g_snprintf(quantity, sizeof(quantity), "memory of one of %u answers not stored", count);
	report("record", quantity, &size, (double)(mallinfo2().uordblks - before) / count, "bytes");
	g_free(line);
	g_array_free(actions, TRUE);
	g_ptr_array_free(list, TRUE);
	jh_record_log_free(log);
}

int main(void)
{
	unsigned i;

	if (sodium_init() < 0)
		return 1;
	puts("role,quantity,daemons,databases,value,unit");
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		config_measure(&sizes[i]);
		placement_measure(&sizes[i]);
	}
	token_measure(&sizes[0], 1);
	token_measure(&sizes[0], 8);
	token_measure(&sizes[0], 64);
	record_measure(1000);
	record_measure(10000);
	record_measure(100000);
	report("coordinator", "a view of one group", &sizes[0],
	       (double)frame_bytes(group_view_frame()), "bytes");
	report("record", "copy of one answer's record", &sizes[0],
	       (double)frame_bytes(record_frame()), "bytes");
	return 0;
}
