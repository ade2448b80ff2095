#include "internal/lead.h"
#include "jh_frame.h"
#include "jh_lead_claim.h"
#include "jh_log.h"
#include "jh_mirror.h"
#include "jh_primary_change.h"
#include "jh_primary_proof.h"
#include "runner.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Guards against a promotion without a majority of the VMs or while the store rejects writes, and
 * against a primary that fails or drains and is not replaced. The leader's module runs in one
 * process with a fake store and a group of two or three fake members, which reply to STATUS and
 * STEP_DOWN over TCP. The store checks the version of the group's row.
 */

extern const jh_module_t jh_leader_module;

#define MEMBERS 3
#define CONNS_MAX 256
#define WAIT_TIMEOUT_US (20 * INT64_C(1000000))

typedef struct fake_conn {
	int fd;
	int member;
	GString *in;
} fake_conn_t;

static jh_settings_t settings;
static jh_kernel_t *kernel;
static jh_task_t *store_task;
static uint64_t version;
/* One line for each write, promotion and STEP_DOWN, in order. */
static GString *journal;
static bool accepts_writes;
static unsigned sync_replicas;
/* Version of the row "group/db"; 0 before it exists. */
static uint64_t group_row_version;
/* The answer of the next commit is lost: the commit is applied and its outcome unknown. */
static bool loses_next_answer;
static int listeners[MEMBERS];
static uint16_t ports[MEMBERS];
static fake_conn_t conns[CONNS_MAX];
static unsigned conn_count;
/* Each member's reply to STATUS and STEP_DOWN; NULL if it does not respond. */
static const char *status_rows[MEMBERS];
/* Requests that each member has received, START not counted. */
static unsigned request_counts[MEMBERS];
static const char *member_groups[MEMBERS] = { "db", "db", "db" };
static const char *member_ids[MEMBERS] = { "m-0", "m-1", "m-2" };
/* The store refuses to write this row; NULL if it refuses none. */
static const char *refused_row;
/* The reply to the next write of a target is held until the test sends it. */
static bool holds_next_target;
static jh_platform_reply_t *held_reply;
static jh_handle_t held_reply_to;
/* Status of a member after STEP_DOWN. */
static const char *stepped_down_row;

/* ---- store ---- */

static int store_init(jh_task_t *task, jh_error_t *err)
{
	(void)err;
	store_task = task;
	return 0;
}

static void row_clear(void *data)
{
	jh_row_msg_t *msg = data;

	g_free(msg->name);
	if (msg->body)
		g_bytes_unref(msg->body);
}

static void publish_row(const char *name, GBytes *body)
{
	jh_row_msg_t *msg = g_rc_box_new0(jh_row_msg_t);

	msg->table = JH_MIRROR_FLEET;
	msg->name = g_strdup(name);
	msg->version = version;
	msg->body = body ? g_bytes_ref(body) : NULL;
	jh_publish(store_task, JH_MSG_ROW, msg, row_clear);
}

/* The mirror of this VM has not applied the rows that were written last. */
static bool own_mirror_lags;

static void publish_version_of(const char *vm)
{
	jh_vm_version_msg_t *msg = g_rc_box_new0(jh_vm_version_msg_t);

	msg->vm = g_intern_string(vm);
	msg->version = version;
	jh_publish(store_task, JH_MSG_VM_VERSION, msg, NULL);
}

/* Publishes the row "group/db" as the catalogue does, and that the mirror has reached it. */
static void publish_primary(GBytes *body, bool is_kept)
{
	jh_primary_msg_t *msg = g_rc_box_new0(jh_primary_msg_t);
	jh_error_t err = JH_ERROR_INIT;

	ck_assert_int_eq(jh_primary_parse(&msg->primary, "db", version, body, &err), 0);
	msg->primary.is_kept = is_kept;
	jh_publish(store_task, JH_MSG_PRIMARY, msg, NULL);
	if (!own_mirror_lags)
		publish_version_of("vm-1");
}

static void publish_row_text(const char *name, const char *text)
{
	GBytes *body = g_bytes_new(text, strlen(text));

	publish_row(name, body);
	g_bytes_unref(body);
}

static void apply_commit(const jh_platform_request_t *request)
{
	unsigned i;

	version++;
	for (i = 0; i < request->writes->len; i++) {
		const jh_store_write_t *write = g_ptr_array_index(request->writes, i);
		gsize size = 0;
		const char *text = write->body ? g_bytes_get_data(write->body, &size) : "";

		g_string_append_printf(journal, "%s %s %.*s\n",
				       write->type == JH_STORE_CHECK ? "expect" : "put",
				       write->name, (int)size, text);
		if (write->type == JH_STORE_DELETE)
			publish_row(write->name, NULL);
		if (write->type == JH_STORE_PUT)
			publish_row(write->name, write->body);
		if (write->type == JH_STORE_PUT && g_str_equal(write->name, "group/db")) {
			group_row_version = version;
			publish_primary(write->body, false);
		}
	}
	if (!own_mirror_lags)
		publish_version_of("vm-1");
}

/* Return: whether a commit writes the row that the store refuses */
static bool is_refused(const jh_platform_request_t *request)
{
	unsigned i;

	for (i = 0; refused_row && i < request->writes->len; i++) {
		const jh_store_write_t *write = g_ptr_array_index(request->writes, i);

		if (g_str_equal(write->name, refused_row)) {
			g_string_append_printf(journal, "refuse %s\n", refused_row);
			return true;
		}
	}
	return false;
}

/* Return: true if a write of the group's row expects another version of it */
static bool is_conflict(const jh_platform_request_t *request)
{
	unsigned i;

	for (i = 0; i < request->writes->len; i++) {
		const jh_store_write_t *write = g_ptr_array_index(request->writes, i);

		if (write->type == JH_STORE_PUT && g_str_equal(write->name, "group/db") &&
		    write->version != group_row_version)
			return true;
	}
	return false;
}

static bool writes_target(const jh_platform_request_t *request)
{
	unsigned i;

	for (i = 0; request->writes && i < request->writes->len; i++) {
		const jh_store_write_t *write = g_ptr_array_index(request->writes, i);
		gsize size = 0;
		const char *text = write->body ? g_bytes_get_data(write->body, &size) : "";

		if (g_strstr_len(text, (gssize)size, "\"target\""))
			return true;
	}
	return false;
}

static void store_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	const jh_platform_request_t *request = msg->body;
	jh_platform_reply_t *reply = g_rc_box_new0(jh_platform_reply_t);

	reply->call = request->call;
	reply->tag = request->tag;
	reply->status = accepts_writes ? JH_PLATFORM_OK : JH_PLATFORM_UNAVAILABLE;
	if (request->call == JH_PLATFORM_PROMOTE) {
		g_string_append_printf(journal, "promote %s %s by %s fence %d\n", request->table,
				       request->name, request->holder, (int)request->fence);
		status_rows[request->name[2] - '0'] = "primary 2 2.11 0 0 0 1";
	} else if (accepts_writes && is_refused(request)) {
		reply->status = JH_PLATFORM_UNAVAILABLE;
	} else if (accepts_writes && is_conflict(request)) {
		reply->status = JH_PLATFORM_CONFLICT;
	} else if (accepts_writes) {
		apply_commit(request);
		if (loses_next_answer)
			reply->status = JH_PLATFORM_UNKNOWN;
		loses_next_answer = false;
	}
	reply->version = version;
	if (holds_next_target && writes_target(request)) {
		holds_next_target = false;
		held_reply = reply;
		held_reply_to = msg->from;
		return;
	}
	jh_post(task, msg->from, JH_MSG_PLATFORM_REPLY, reply, jh_platform_reply_clear);
}

static void store_fini(jh_task_t *task)
{
	(void)task;
}

static const jh_module_t store_module = {
	.name = "platform",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = store_init,
	.on_message = store_on_message,
	.fini = store_fini,
};

/* ---- peer ---- */

/* Frames with a report of this VM. */
static unsigned reports_sent;

static int peer_init(jh_task_t *task, jh_error_t *err)
{
	(void)task;
	(void)err;
	return 0;
}

static void peer_on_message(jh_task_t *task, const jh_msg_t *msg)
{
	(void)task;
	reports_sent += msg->type == JH_MSG_FRAME_OUT;
}

static const jh_module_t peer_module = {
	.name = "peer",
	.subscriptions = { JH_MSG_TYPE_COUNT },
	.init = peer_init,
	.on_message = peer_on_message,
	.fini = store_fini,
};

/* ---- members ---- */

static void member_listen(int member)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t length = sizeof(address);

	listeners[member] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	ck_assert_int_eq(bind(listeners[member], (struct sockaddr *)&address, length), 0);
	ck_assert_int_eq(listen(listeners[member], 16), 0);
	getsockname(listeners[member], (struct sockaddr *)&address, &length);
	ports[member] = ntohs(address.sin_port);
}

/* Every member sends each reply twice. */
static bool repeats_replies;

/* Each reply of the members is sent that much later, microseconds. */
static int64_t reply_delay_us;
/* late_reply_t: replies that are not sent yet, in order. */
static GArray *late_replies;

typedef struct late_reply {
	int fd;
	char *text;
	int64_t due_us;
} late_reply_t;

static void send_reply(int fd, const char *reply)
{
	late_reply_t late = { fd, g_strdup(reply), g_get_monotonic_time() + reply_delay_us };

	if (!late_replies)
		late_replies = g_array_new(FALSE, FALSE, sizeof(late_reply_t));
	g_array_append_val(late_replies, late);
}

static void send_due_replies(void)
{
	while (late_replies && late_replies->len > 0) {
		late_reply_t late = g_array_index(late_replies, late_reply_t, 0);

		if (g_get_monotonic_time() < late.due_us)
			return;
		(void)send(late.fd, late.text, strlen(late.text), MSG_NOSIGNAL);
		g_free(late.text);
		g_array_remove_index(late_replies, 0);
	}
}

static void member_reply(const fake_conn_t *conn, const char *line)
{
	char *reply = NULL;

	request_counts[conn->member] += !g_str_has_prefix(line, "START ");
	if (!status_rows[conn->member])
		return;
	if (strstr(line, "STEPDOWN")) {
		g_string_append_printf(journal, "member %d %s\n", conn->member, line);
		status_rows[conn->member] = stepped_down_row;
	}
	if (g_str_has_prefix(line, "START "))
		reply = g_strdup("READY I 1.10\r\n");
	else
		reply = g_strdup_printf("ROW %s\r\nDONE -\r\nREADY I 1.10\r\n",
					status_rows[conn->member]);
	send_reply(conn->fd, reply);
	if (repeats_replies)
		send_reply(conn->fd, reply);
	g_free(reply);
}

static void members_serve(void)
{
	char buffer[1024];
	unsigned i;
	int fd;

	for (i = 0; i < MEMBERS; i++) {
		fd = accept4(listeners[i], NULL, NULL, SOCK_NONBLOCK);
		if (fd >= 0 && conn_count < CONNS_MAX)
			conns[conn_count++] = (fake_conn_t){ fd, (int)i, g_string_new(NULL) };
	}
	for (i = 0; i < conn_count; i++) {
		ssize_t count = recv(conns[i].fd, buffer, sizeof(buffer), 0);
		char *end;

		if (count > 0)
			g_string_append_len(conns[i].in, buffer, count);
		while ((end = strstr(conns[i].in->str, "\r\n"))) {
			char *line = g_strndup(conns[i].in->str, end - conns[i].in->str);

			g_string_erase(conns[i].in, 0, end + 2 - conns[i].in->str);
			member_reply(&conns[i], line);
			g_free(line);
		}
	}
	send_due_replies();
}

static void run_once(void)
{
	ev_run(jh_kernel_loop(kernel), EVRUN_NOWAIT);
	members_serve();
	g_usleep(500);
}

static void wait_us(int64_t time_us)
{
	int64_t until = g_get_monotonic_time() + time_us;

	while (g_get_monotonic_time() < until)
		run_once();
}

static void wait_for_entry(const char *text)
{
	int64_t until = g_get_monotonic_time() + WAIT_TIMEOUT_US;

	while (!strstr(journal->str, text)) {
		ck_assert_msg(g_get_monotonic_time() < until, "no '%s' in:\n%s", text,
			      journal->str);
		run_once();
	}
}

static unsigned count_entries(const char *entry)
{
	const char *place = journal->str;
	unsigned count = 0;

	while ((place = strstr(place, entry))) {
		place += strlen(entry);
		count++;
	}
	return count;
}

/* ---- messages of other tasks ---- */

static void config_clear(void *data)
{
	jh_fleet_config_unref(((jh_fleet_config_msg_t *)data)->config);
}

static void member_clear(void *data)
{
	jh_member_free(((jh_member_msg_t *)data)->member);
}

static void publish_instance(int index, bool claims_primary, bool is_draining, int64_t started_ms)
{
	jh_member_msg_t *msg = g_rc_box_new0(jh_member_msg_t);

	msg->id = g_intern_string(member_ids[index]);
	msg->member = g_new0(jh_member_t, 1);
	*msg->member = (jh_member_t){ .id = msg->id,
				      .group = g_intern_string(member_groups[index]),
				      .host = g_strdup("127.0.0.1"),
				      .port = ports[index],
				      .dc = g_intern_string(index == 0 ? "dc-1" : "dc-2"),
				      .slots = 4,
				      .claims_primary = claims_primary,
				      .is_draining = is_draining,
				      .started_ms = started_ms };
	jh_publish(store_task, JH_MSG_MEMBER, msg, member_clear);
}

static void publish_member(int index, bool claims_primary, bool is_draining)
{
	publish_instance(index, claims_primary, is_draining, 1);
}

static void publish_unlisted(int index)
{
	jh_member_msg_t *msg = g_rc_box_new0(jh_member_msg_t);

	msg->id = g_intern_string(member_ids[index]);
	jh_publish(store_task, JH_MSG_MEMBER, msg, member_clear);
}

static void publish_lease(int64_t until_us)
{
	jh_mirror_lease_msg_t *lease = g_rc_box_new0(jh_mirror_lease_msg_t);

	lease->until_us = until_us;
	lease->is_complete = true;
	jh_publish(store_task, JH_MSG_MIRROR_LEASE, lease, NULL);
}

static void publish_config(void)
{
	jh_fleet_config_msg_t *config_msg = g_rc_box_new0(jh_fleet_config_msg_t);
	jh_fleet_group_t *group;
	unsigned i;

	config_msg->config = jh_fleet_config_new();
	for (i = 0; i < MEMBERS; i++) {
		if (g_hash_table_contains(config_msg->config->groups, member_groups[i]))
			continue;
		group = jh_fleet_config_add_group(config_msg->config, member_groups[i]);
		group->connections = 8;
		group->sync_replicas = sync_replicas;
	}
	jh_publish(store_task, JH_MSG_FLEET_CONFIG, config_msg, config_clear);
}

static void publish_vms_read(unsigned count, jh_vm_state_t others, bool is_listed)
{
	GPtrArray *vms = g_ptr_array_new();
	unsigned i;

	for (i = 0; i < count; i++) {
		const jh_vm_t vm = { .name = (char *)(i == 0 ? "vm-1" :
						      i == 1 ? "vm-2" :
							       "vm-3"),
				     .dc = (char *)"dc-1",
				     .host = (char *)"127.0.0.1",
				     .port = 1,
				     .state = i == 0 ? JH_VM_LIVE : others };

		g_ptr_array_add(vms, jh_vm_copy(&vm));
	}
	jh_vms_publish(store_task, vms, is_listed);
}

/* The first @count VMs are listed and vote. */
static void publish_voters(unsigned count)
{
	static const char *const names[] = { "vm-1", "vm-2", "vm-3" };
	GString *text = g_string_new("{\"generation\":1,\"voters\":[");
	unsigned i;

	for (i = 0; i < count; i++) {
		char *row = g_strconcat(JH_MIRROR_VM_PREFIX, names[i], NULL);

		publish_row_text(row, "{}");
		g_string_append_printf(text, "%s\"%s\"", i > 0 ? "," : "", names[i]);
		g_free(row);
	}
	g_string_append(text, "]}");
	publish_row_text(JH_VOTERS_ROW, text->str);
	g_string_free(text, TRUE);
}

static void publish_vms(unsigned count, jh_vm_state_t others)
{
	publish_vms_read(count, others, true);
}

static void publish_report(void)
{
	jh_primary_report_msg_t *msg = g_rc_box_new0(jh_primary_report_msg_t);

	msg->group = g_intern_string("db");
	msg->member = g_intern_string("m-0");
	jh_publish(store_task, JH_MSG_PRIMARY_REPORT, msg, NULL);
}

static void publish_dc_drain(const char *dc, bool is_drained, int64_t since_us)
{
	jh_dc_drain_msg_t *msg = g_rc_box_new0(jh_dc_drain_msg_t);

	msg->dc = g_intern_string(dc);
	msg->is_drained = is_drained;
	msg->requested_after_us = since_us;
	jh_publish(store_task, JH_MSG_DC_DRAIN, msg, NULL);
}

static void set_up_without_lease(unsigned vms, jh_vm_state_t others)
{
	jh_error_t err = JH_ERROR_INIT;

	jh_log_init("vm-1", "error");
	settings = (jh_settings_t){ .vm = (char *)"vm-1",
				    .dc = (char *)"dc-1",
				    .dc_drain_ms = 5000,
				    .profile = (char *)"fleet" };
	journal = g_string_new(NULL);
	accepts_writes = true;
	version = 100;
	member_listen(0);
	member_listen(1);
	member_listen(2);
	status_rows[0] = "primary 1 1.10 0 0 0 1";
	status_rows[1] = "replica 1 1.10 0 0 0 1";
	status_rows[2] = "replica 1 1.10 0 0 0 1";
	stepped_down_row = "replica 1 1.10 0 0 0 1";
	kernel = jh_kernel_new(&settings, &err);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &store_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &peer_module, &err), 0);
	ck_assert_int_eq(jh_kernel_add_module(kernel, &jh_leader_module, &err), 0);
	publish_config();
	publish_member(0, true, false);
	publish_member(1, false, false);
	publish_voters(vms);
	publish_version_of("vm-1");
	publish_vms(vms, others);
}

static void set_up(unsigned vms, jh_vm_state_t others)
{
	set_up_without_lease(vms, others);
	publish_lease(INT64_MAX);
}

/* ---- tests ---- */

START_TEST(test_row_names_existing_primary)
{
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	ck_assert(strstr(journal->str, "\"vm\":\"vm-1\""));
	ck_assert(strstr(journal->str, "put group/db {\"primary\":\"m-0\",\"term\":1,"));
	ck_assert(!strstr(journal->str, "promote"));
}
END_TEST

/*
 * Guards against daemons that are never ready: another member claims the role too, does not reply,
 * or replies as a replica.
 */
START_TEST(test_second_claim_does_not_keep_a_group_without_primary)
{
	set_up(1, JH_VM_LIVE);
	publish_member(1, true, false);
	publish_member(2, true, false);
	status_rows[2] = NULL;
	wait_for_entry("put group/db {\"primary\":\"m-0\",\"term\":1,");
}
END_TEST

/* Guards against two primaries: a member that claims the role from an earlier term is not chosen.
 */
START_TEST(test_claim_of_an_earlier_term_is_not_chosen)
{
	set_up(1, JH_VM_LIVE);
	status_rows[1] = "primary 2 2.11 0 0 0 1";
	publish_member(1, true, false);
	wait_for_entry("put group/db {\"primary\":\"m-1\",\"term\":2,");
}
END_TEST

static void overwrite_row(const char *name, const char *text)
{
	GBytes *body = g_bytes_new(text, strlen(text));

	version++;
	if (g_str_equal(name, "group/db"))
		group_row_version = version;
	publish_row(name, body);
	g_bytes_unref(body);
}

/* Guards against a group that no leader can change any more, since its row has another version. */
START_TEST(test_malformed_row_of_a_group_is_written_again)
{
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	wait_us(200000);
	g_string_truncate(journal, 0);
	overwrite_row("group/db", "{\"primary\":7}");
	wait_for_entry("put group/db {\"primary\":\"m-0\",\"term\":1,\"changing\":false}");
	publish_member(0, true, true);
	wait_for_entry("promote db m-1 by vm-1");
}
END_TEST

/* Guards against ONE: the fencing token goes back if the leader's row does not name one. */
START_TEST(test_malformed_row_of_the_leader_keeps_its_token)
{
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	wait_us(200000);
	g_string_truncate(journal, 0);
	overwrite_row("lead", "{\"vm\":\"vm-1\",\"boot\":1,\"fence\":9223372036854775807}");
	wait_for_entry("\"fence\":2}");
	g_string_truncate(journal, 0);
	overwrite_row("lead", "[[[[[[[[");
	wait_for_entry("\"fence\":3}");
}
END_TEST

/* Guards against a change of primary because the members' second reply to START ends the inquiry.
 */
START_TEST(test_members_that_repeat_replies_are_not_taken_for_dead)
{
	repeats_replies = true;
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	g_string_truncate(journal, 0);
	publish_report();
	wait_us(3000000);
	ck_assert_msg(!strstr(journal->str, "\"changing\":true"), "%s", journal->str);
	publish_member(0, true, true);
	wait_for_entry("promote db m-1 by vm-1 fence 1");
}
END_TEST

START_TEST(test_draining_primary_is_replaced)
{
	const char *target;

	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	publish_member(0, true, true);
	wait_for_entry("promote db m-1 by vm-1 fence 1");
	wait_for_entry("put group/db {\"primary\":\"m-1\",\"term\":2,\"changing\":false");
	ck_assert(strstr(journal->str, "member 0 QUERY - STEPDOWN 2"));
	target = strstr(journal->str, "\"target\":\"m-1\"");
	ck_assert(target && target < strstr(journal->str, "promote"));
	/* Every write of a group's row is conditional on the leader's row. */
	ck_assert(strstr(target, "expect lead"));
}
END_TEST

/*
 * The row that the leader wrote arrived before the call ended without an answer, and was dropped:
 * the leader repeated the write with the version before for as long as it was the leader.
 */
START_TEST(test_change_goes_on_after_a_lost_answer)
{
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	loses_next_answer = true;
	publish_member(0, true, true);
	wait_for_entry("put group/db {\"primary\":\"m-1\",\"term\":2,\"changing\":false");
	ck_assert(!loses_next_answer);
}
END_TEST

/* Three members with one synchronous replica: m-0 is the primary, m-1 and m-2 are replicas. */
static void set_up_synchronous(void)
{
	sync_replicas = 1;
	set_up(1, JH_VM_LIVE);
	publish_member(2, false, false);
	wait_for_entry("put group/db");
	/* The leader has seen all registrations. */
	wait_us(300000);
}

static void crash_primary(void)
{
	status_rows[0] = NULL;
	publish_report();
	wait_us(300000);
	publish_report();
}

/*
 * Guards against LOST: with a synchronous replica, the member whose registration has expired may be
 * the only one that received a commit, however long ago it expired.
 */
START_TEST(test_successor_waits_for_a_member_that_may_register_again)
{
	set_up_synchronous();
	status_rows[1] = "replica 1 1.5 0 0 0 1";
	status_rows[2] = NULL;
	publish_unlisted(2);
	wait_us(JH_REGISTRATION_GRACE_US);
	crash_primary();
	wait_us(2 * JH_REGISTRATION_GRACE_US);
	ck_assert(!strstr(journal->str, "promote"));
	status_rows[2] = "replica 1 1.10 0 0 0 1";
	publish_member(2, false, false);
	wait_for_entry("promote db m-2 by vm-1");
}
END_TEST

/*
 * Guards against LOST: a member that is cut off from the store only, and tells so if it is asked,
 * holds commits that the registered member lacks.
 */
START_TEST(test_unlisted_member_that_replies_is_not_passed_over)
{
	set_up_synchronous();
	status_rows[1] = "replica 1 1.5 0 0 0 1";
	publish_unlisted(2);
	wait_us(JH_REGISTRATION_GRACE_US + 500000);
	crash_primary();
	wait_us(JH_REGISTRATION_GRACE_US);
	ck_assert(!strstr(journal->str, "promote"));
	/* The registered member has received the rest. */
	status_rows[1] = "replica 1 1.10 0 0 0 1";
	wait_for_entry("promote db m-1 by vm-1");
}
END_TEST

/*
 * Guards against a group without a primary for good: a member that was lost while the primary and
 * the other replica went on holds nothing that they lack.
 */
START_TEST(test_lost_member_is_given_up_once_the_others_have_its_log)
{
	set_up_synchronous();
	status_rows[2] = NULL;
	publish_unlisted(2);
	wait_us(2500000);
	crash_primary();
	wait_for_entry("promote db m-1 by vm-1");
}
END_TEST

static void deliver_replica_report(const char *vm, int index, bool replied)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_REPLICA_REPORT);

	frame->replica_report->group = jh_frame_strdup("db");
	frame->replica_report->member = jh_frame_strdup(member_ids[index]);
	frame->replica_report->started_ms = 1;
	frame->replica_report->replied = replied;
	jh_frame_deliver(store_task, vm, 1, frame);
}

/* vm-2 reports for @time_us whether it reaches m-2. */
static void report_replica_for(int64_t time_us, bool replied)
{
	int64_t until = g_get_monotonic_time() + time_us;

	while (g_get_monotonic_time() < until) {
		deliver_replica_report("vm-2", 2, replied);
		publish_version_of("vm-2");
		wait_us(200000);
	}
}

/* As set_up_synchronous(), with a second VM. */
static void set_up_synchronous_with_another_vm(void)
{
	sync_replicas = 1;
	set_up(2, JH_VM_SUSPECT);
	publish_member(2, false, false);
	wait_for_entry("put group/db");
	publish_vms(2, JH_VM_LIVE);
	wait_us(300000);
}

/*
 * Guards against LOST (review/11): a replica that only the leader and the store do not reach goes
 * on receiving commits, and was given up.
 */
START_TEST(test_replica_that_another_vm_reaches_is_not_given_up)
{
	set_up_synchronous_with_another_vm();
	status_rows[2] = NULL;
	publish_unlisted(2);
	report_replica_for(3000000, true);
	crash_primary();
	report_replica_for(2000000, true);
	ck_assert_msg(!strstr(journal->str, "promote"), "%s", journal->str);
	status_rows[2] = "replica 1 1.12 0 0 0 1";
	publish_member(2, false, false);
	publish_version_of("vm-2");
	wait_for_entry("promote db m-2 by vm-1");
}
END_TEST

/* Guards against the same if the other VM's report is late: no report does not mean that it failed.
 */
START_TEST(test_replica_is_given_up_once_every_vm_has_asked_in_vain)
{
	set_up_synchronous_with_another_vm();
	status_rows[2] = NULL;
	publish_unlisted(2);
	wait_us(2500000);
	ck_assert_msg(!strstr(journal->str, "put replicas/db {\"replicas\":[{\"id\":\"m-1\"") ||
			      strstr(journal->str, "m-2"),
		      "%s", journal->str);
	report_replica_for(1500000, false);
	g_string_truncate(journal, 0);
	crash_primary();
	publish_version_of("vm-2");
	wait_us(300000);
	publish_version_of("vm-2");
	wait_for_entry("promote db m-1 by vm-1");
}
END_TEST

/*
 * Guards against LOST: a replica that no VM reaches was given up, and received further commits from
 * the primary. The VMs know that they were acknowledged.
 */
START_TEST(test_member_without_an_acknowledged_commit_is_not_promoted)
{
	jh_acknowledged_msg_t *msg = g_rc_box_new0(jh_acknowledged_msg_t);

	set_up_synchronous();
	status_rows[2] = NULL;
	publish_unlisted(2);
	wait_us(2500000);
	msg->group = g_intern_string("db");
	msg->position = (jh_position_t){ 1, 11 };
	jh_publish(store_task, JH_MSG_ACKNOWLEDGED, msg, NULL);
	crash_primary();
	wait_us(2 * JH_REGISTRATION_GRACE_US);
	ck_assert_msg(!strstr(journal->str, "promote"), "%s", journal->str);
	status_rows[2] = "replica 1 1.12 0 0 0 1";
	publish_member(2, false, false);
	wait_for_entry("promote db m-2 by vm-1");
}
END_TEST

/*
 * Guards against a group without a primary for good (soak seeds 711 and 738): all replicas that
 * commits may rest on reply, so that waiting for another one shows nothing more.
 */
START_TEST(test_acknowledged_position_counts_only_if_a_replica_was_given_up)
{
	jh_acknowledged_msg_t *msg = g_rc_box_new0(jh_acknowledged_msg_t);

	set_up_synchronous();
	msg->group = g_intern_string("db");
	msg->position = (jh_position_t){ 1, 11 };
	jh_publish(store_task, JH_MSG_ACKNOWLEDGED, msg, NULL);
	crash_primary();
	wait_for_entry("promote db m-");
}
END_TEST

/* Its log has passed to the member at its address, which the page says of one that leaves. */
START_TEST(test_member_that_was_replaced_does_not_count)
{
	set_up_synchronous();
	publish_unlisted(2);
	member_ids[2] = "m-9";
	status_rows[2] = "replica 1 1.8 0 0 0 1";
	publish_member(2, false, false);
	crash_primary();
	wait_for_entry("promote db m-1 by vm-1");
}
END_TEST

/*
 * Guards against LOST: a member that started again under its id has lost what it had received, and
 * is the longest log that replies all the same.
 */
START_TEST(test_member_that_started_anew_proves_nothing)
{
	set_up_synchronous();
	status_rows[1] = "replica 1 1.5 0 0 0 1";
	status_rows[2] = "replica 1 1.6 0 0 0 1";
	publish_instance(2, false, false, 2);
	crash_primary();
	wait_us(JH_REGISTRATION_GRACE_US);
	ck_assert(!strstr(journal->str, "promote"));
	/* The old primary comes back with its log, and the others have received it. */
	status_rows[0] = "primary 1 1.10 0 0 0 1";
	status_rows[1] = "replica 1 1.10 0 0 0 1";
	wait_us(1000000);
	ck_assert(!strstr(journal->str, "promote db m-2"));
}
END_TEST

/* Guards against LOST: the commits are on the member that leaves, which serves on for some time. */
START_TEST(test_leaving_member_is_promoted_if_only_it_has_the_commits)
{
	set_up_synchronous();
	status_rows[1] = "replica 1 1.5 0 0 0 1";
	publish_member(2, false, true);
	wait_us(100000);
	crash_primary();
	wait_for_entry("promote db m-2 by vm-1");
	wait_for_entry("\"primary\":\"m-2\",\"term\":2,\"changing\":false");
	/* It is replaced in turn, once the other member has received its log. */
	wait_us(1000000);
	ck_assert(!strstr(journal->str, "promote db m-1"));
	stepped_down_row = "replica 2 2.11 0 0 0 1";
	status_rows[1] = "replica 2 2.11 0 0 0 1";
	wait_for_entry("promote db m-1 by vm-1");
}
END_TEST

/*
 * Guards against LOST and against an outage: a planned change begins only once a member that stays
 * receives the commits, and ends with the old primary if it does not receive the last ones.
 */
START_TEST(test_planned_change_waits_for_a_replica_that_receives)
{
	set_up_synchronous();
	status_rows[1] = "replica 1 1.5 0 0 0 1";
	publish_member(2, false, true);
	publish_member(0, true, true);
	wait_us(1500000);
	ck_assert(!strstr(journal->str, "\"changing\":true"));
	status_rows[1] = "replica 1 1.10 0 0 0 1";
	stepped_down_row = "replica 1 1.20 0 0 0 1";
	status_rows[2] = NULL;
	wait_for_entry("STEPDOWN");
	wait_for_entry("promote db m-0 by vm-1");
	ck_assert(!strstr(journal->str, "promote db m-1"));
}
END_TEST

#define REPLICA(id)                                                                                \
	"{\"id\":\"" id "\",\"born\":1,\"host\":\"127.0.0.1\",\"port\":1,\"dc\":\"dc-2\"}"

/*
 * The leader has just started and reads the rows of before; m-0 is the primary, and m-2 is not
 * registered any more.
 */
static void set_up_restarted_leader(const char *replicas)
{
	sync_replicas = 1;
	set_up(1, JH_VM_LIVE);
	overwrite_row("replicas/db", replicas);
	wait_for_entry("put group/db");
	status_rows[1] = "replica 1 1.5 0 0 0 1";
	status_rows[2] = NULL;
	wait_us(300000);
}

/*
 * Guards against LOST: a leader that starts after the registration of the only member with the last
 * commits has lapsed promotes another one.
 */
START_TEST(test_restarted_leader_counts_a_member_that_is_not_registered_any_more)
{
	set_up_restarted_leader(
		"{\"replicas\":[" REPLICA("m-0") "," REPLICA("m-1") "," REPLICA("m-2") "]}");
	crash_primary();
	wait_us(2 * JH_REGISTRATION_GRACE_US);
	ck_assert_msg(!strstr(journal->str, "promote"), "%s", journal->str);
	status_rows[2] = "replica 1 1.10 0 0 0 1";
	publish_member(2, false, false);
	wait_for_entry("promote db m-2 by vm-1");
}
END_TEST

/* Guards against a group without a primary for good: an earlier leader has given the member up. */
START_TEST(test_restarted_leader_does_not_wait_for_a_member_that_was_given_up)
{
	set_up_restarted_leader("{\"replicas\":[" REPLICA("m-0") "," REPLICA("m-1") "]}");
	crash_primary();
	wait_for_entry("promote db m-1 by vm-1");
	/* Nobody has added a member meanwhile. */
	ck_assert_ptr_nonnull(strstr(journal->str, "expect replicas/db"));
}
END_TEST

/* Guards against the same: this leader gives it up, after it has learned of it from the row only.
 */
START_TEST(test_restarted_leader_gives_up_a_member_that_it_has_never_seen)
{
	set_up_restarted_leader(
		"{\"replicas\":[" REPLICA("m-0") "," REPLICA("m-1") "," REPLICA("m-2") "]}");
	status_rows[1] = "replica 1 1.10 0 0 0 1";
	g_string_truncate(journal, 0);
	wait_for_entry("put replicas/db");
	ck_assert_msg(!strstr(journal->str, "m-2"), "%s", journal->str);
	crash_primary();
	wait_for_entry("promote db m-1 by vm-1");
}
END_TEST

/* Guards against LOST: the next leader learns of the members from the row alone. */
START_TEST(test_replicas_stay_recorded_until_they_do_not_matter)
{
	set_up_synchronous();
	ck_assert_ptr_nonnull(strstr(journal->str, "put replicas/db"));
	g_string_truncate(journal, 0);
	/* Neither the remaining replica nor the primary shows that it does not matter. */
	status_rows[1] = "replica 1 1.5 0 0 0 1";
	status_rows[2] = NULL;
	publish_unlisted(2);
	wait_us(2000000);
	ck_assert_msg(!strstr(journal->str, "put replicas/db"), "%s", journal->str);
	status_rows[1] = "replica 1 1.10 0 0 0 1";
	wait_for_entry("put replicas/db");
	ck_assert_msg(!strstr(journal->str, "m-2"), "%s", journal->str);
	/* It registers again. */
	g_string_truncate(journal, 0);
	publish_member(2, false, false);
	wait_for_entry("put replicas/db");
	ck_assert_ptr_nonnull(strstr(journal->str, "m-2"));
}
END_TEST

/* Guards against LOST: a member registers, and disappears, while no VM leads. */
START_TEST(test_replicas_are_recorded_by_a_vm_that_does_not_lead)
{
	sync_replicas = 1;
	set_up(2, JH_VM_LIVE);
	overwrite_row("lead", "{\"vm\":\"vm-2\",\"boot\":7,\"fence\":5}");
	overwrite_row("replicas/db", "{\"replicas\":[" REPLICA("m-9") "]}");
	wait_for_entry("put replicas/db");
	ck_assert_ptr_nonnull(strstr(journal->str, "m-0"));
	ck_assert_ptr_nonnull(strstr(journal->str, "m-1"));
	/* It removes none. */
	ck_assert_ptr_nonnull(strstr(journal->str, "m-9"));
	ck_assert_ptr_null(strstr(journal->str, "expect lead"));
}
END_TEST

/* ---- a restored store that no VM remembers ---- */

static void publish_era(uint64_t era, bool is_confirmed)
{
	jh_mirror_era_msg_t *msg = g_rc_box_new0(jh_mirror_era_msg_t);

	msg->era = era;
	msg->is_confirmed = is_confirmed;
	jh_publish(store_task, JH_MSG_MIRROR_ERA, msg, NULL);
}

#define RESTORED_ROW "{\"primary\":\"m-0\",\"term\":1,\"changing\":false}"

/*
 * All VMs have started since the store came back in era 2, in which the group's row names m-0 as
 * the primary of term 1.
 */
static void set_up_restored_row(const char *text)
{
	GBytes *body = g_bytes_new_static(text, strlen(text));

	set_up_without_lease(1, JH_VM_LIVE);
	publish_member(2, false, false);
	version = jh_store_version(2, 100);
	group_row_version = version;
	publish_row("group/db", body);
	publish_primary(body, false);
	publish_era(2, false);
	g_bytes_unref(body);
	wait_for_entry("put lead");
	g_string_truncate(journal, 0);
}

static void set_up_restored_store(void)
{
	set_up_restored_row(RESTORED_ROW);
}

/* Guards against STALE and ONE: the members know that the row's primary was replaced. */
START_TEST(test_primary_of_a_restored_row_is_replaced_by_the_one_that_leads)
{
	set_up_restored_store();
	status_rows[0] = "replica 2 2.11 0 0 0 1";
	status_rows[1] = "primary 2 2.11 0 0 0 1";
	wait_us(1500000);
	/* VMs that know more may still come into touch. */
	ck_assert_msg(!strstr(journal->str, "put"), "%s", journal->str);
	wait_for_entry("put era {\"era\":2}");
	ck_assert_ptr_nonnull(strstr(
		journal->str, "put group/db {\"primary\":\"m-1\",\"term\":2,\"changing\":false"));
	ck_assert(strstr(journal->str, "put group/db") < strstr(journal->str, "put era"));
	ck_assert_ptr_nonnull(strstr(strstr(journal->str, "put era"), "expect lead"));
	ck_assert_ptr_null(strstr(journal->str, "promote"));
}
END_TEST

/* Guards against the same: the old primary is behind a network partition and still leads. */
START_TEST(test_old_primary_that_still_leads_its_term_is_not_used)
{
	set_up_restored_store();
	status_rows[2] = "replica 2 2.11 0 0 0 1";
	status_rows[1] = "primary 2 2.11 0 0 0 1";
	wait_for_entry("put era {\"era\":2}");
	ck_assert_ptr_nonnull(strstr(journal->str, "put group/db {\"primary\":\"m-1\",\"term\":2"));
}
END_TEST

START_TEST(test_restored_row_that_holds_is_not_written)
{
	set_up_restored_store();
	wait_for_entry("put era {\"era\":2}");
	ck_assert_msg(!strstr(journal->str, "put group/db"), "%s", journal->str);
}
END_TEST

/* Guards against the same: the members that know the newer term replied at first only. */
START_TEST(test_newer_term_of_an_earlier_poll_is_not_forgotten)
{
	set_up_restored_store();
	status_rows[2] = "replica 2 2.11 0 0 0 1";
	status_rows[1] = NULL;
	wait_us(JH_PROOF_DELAY_US + 1000000);
	status_rows[2] = NULL;
	wait_for_entry("put era {\"era\":2}");
	ck_assert_msg(strstr(journal->str, "\"changing\":true"), "%s", journal->str);
}
END_TEST

/* Guards against a proof that never comes: a member is lost for good, and its registration lapses.
 */
START_TEST(test_restored_row_is_proven_without_a_lost_member)
{
	set_up_restored_store();
	status_rows[2] = NULL;
	wait_us(JH_PROOF_DELAY_US + 1000000);
	ck_assert_msg(!strstr(journal->str, "put era"), "%s", journal->str);
	publish_unlisted(2);
	wait_for_entry("put era {\"era\":2}");
	ck_assert_msg(!strstr(journal->str, "put group/db"), "%s", journal->str);
}
END_TEST

/*
 * Guards against ONE and STALE: a registered member that does not reply leads a newer term, and the
 * primary of the restored row replies as such. It may lead again only in a term of its own.
 */
START_TEST(test_restored_primary_is_not_used_while_a_registered_member_is_silent)
{
	set_up_restored_store();
	status_rows[2] = NULL;
	stepped_down_row = "replica 2 1.10 0 0 0 1";
	wait_for_entry("put era {\"era\":2}");
	ck_assert_msg(strstr(journal->str, "\"changing\":true,\"unproven\":true"), "%s",
		      journal->str);
	ck_assert(strstr(journal->str, "put group/db") < strstr(journal->str, "put era"));
	publish_era(2, true);
	publish_lease(INT64_MAX);
	wait_for_entry("promote db");
	ck_assert_ptr_nonnull(strstr(journal->str, "member 0 QUERY - STEPDOWN 2"));
}
END_TEST

/* m-1 and m-2 have commits of a newer term than @row, and reply only after a while. */
static void check_newer_quorum_is_waited_for(const char *row)
{
	sync_replicas = 1;
	set_up_restored_row(row);
	status_rows[1] = NULL;
	status_rows[2] = NULL;
	stepped_down_row = "replica 2 1.10 0 0 0 1";
	wait_for_entry("put era {\"era\":2}");
	publish_era(2, true);
	publish_lease(INT64_MAX);
	wait_us(4000000);
	ck_assert_msg(!strstr(journal->str, "promote db"), "%s", journal->str);
	status_rows[1] = "primary 2 2.11 0 0 0 1";
	wait_for_entry("put group/db {\"primary\":\"m-1\",\"term\":2,\"changing\":false");
	sync_replicas = 0;
}

/*
 * Guards against LOST: the primary of the newest term and its synchronous replica do not reply, and
 * have commits that the old primary lacks.
 */
START_TEST(test_restored_primary_is_not_promoted_while_a_newer_quorum_may_exist)
{
	check_newer_quorum_is_waited_for(RESTORED_ROW);
}
END_TEST

/*
 * Guards against the same if the copy has a change under way: it may have ended since, and others
 * may have led.
 */
START_TEST(test_change_of_a_restored_store_does_not_end_while_a_newer_quorum_may_exist)
{
	check_newer_quorum_is_waited_for(
		"{\"primary\":\"m-0\",\"term\":1,\"changing\":true,\"revocableEra\":1}");
}
END_TEST

/* Guards against the same, and against a primary that nobody has seen: the primary is lost. */
START_TEST(test_group_whose_restored_primary_is_lost_gets_another_one)
{
	set_up_restored_store();
	status_rows[0] = NULL;
	status_rows[2] = "replica 1 1.9 0 0 0 1";
	wait_for_entry("put era {\"era\":2}");
	ck_assert_ptr_nonnull(strstr(journal->str, "\"changing\":true"));
	ck_assert_ptr_null(strstr(journal->str, "promote"));
	publish_era(2, true);
	publish_lease(INT64_MAX);
	wait_for_entry("promote db m-1 by vm-1");
}
END_TEST

/* Guards against ONE: an old primary's own reply proves nothing in a change that began so. */
START_TEST(test_unproven_change_is_not_cancelled_by_the_old_primary_alone)
{
	set_up_restored_store();
	status_rows[0] = NULL;
	wait_for_entry("put era {\"era\":2}");
	status_rows[0] = "primary 1 1.10 0 0 0 1";
	stepped_down_row = "primary 1 1.10 0 0 0 1";
	status_rows[1] = "replica 2 2.11 0 0 0 1";
	status_rows[2] = "primary 2 2.11 0 0 0 1";
	g_string_truncate(journal, 0);
	publish_era(2, true);
	publish_lease(INT64_MAX);
	wait_for_entry("put group/db");
	ck_assert_msg(strstr(journal->str, "put group/db {\"primary\":\"m-2\",\"term\":2"), "%s",
		      journal->str);
}
END_TEST

/*
 * Guards against commits that are rolled back without need: an earlier leader had told the primary
 * of a restored row to step down, and a replica with a shorter log was promoted after 1.5 s.
 */
START_TEST(test_primary_of_an_unproven_row_with_the_longest_log_is_promoted_again)
{
	set_up_restored_store();
	status_rows[0] = "replica 1 1.20 0 0 0 1";
	stepped_down_row = status_rows[0];
	wait_for_entry("put era {\"era\":2}");
	publish_era(2, true);
	publish_lease(INT64_MAX);
	wait_for_entry("promote db");
	ck_assert_msg(strstr(journal->str, "promote db m-0 by vm-1"), "%s", journal->str);
}
END_TEST

/* m-1 and m-2 were promoted since the row was written, and the first one does not know of the
 * other. */
static void check_newest_term_is_taken_over(unsigned term_1, unsigned term_2)
{
	char *status_1 = g_strdup_printf("primary %u %u.11 0 0 0 1", term_1, term_1);
	char *status_2 = g_strdup_printf("primary %u %u.11 0 0 0 1", term_2, term_2);
	char *expected = g_strdup_printf("put group/db {\"primary\":\"m-%d\",\"term\":%u",
					 term_1 > term_2 ? 1 : 2, MAX(term_1, term_2));

	set_up(1, JH_VM_LIVE);
	publish_member(2, false, false);
	wait_for_entry("put group/db");
	status_rows[0] = "replica 1 1.10 0 0 0 1";
	status_rows[1] = status_1;
	status_rows[2] = status_2;
	publish_member(0, true, true);
	wait_for_entry("\"changing\":true");
	g_string_truncate(journal, 0);
	wait_for_entry("\"changing\":false");
	ck_assert_msg(strstr(journal->str, expected), "%s", journal->str);
	status_rows[1] = NULL;
	status_rows[2] = NULL;
	g_free(expected);
	g_free(status_2);
	g_free(status_1);
}

/*
 * Guards against ONE: of two members that lead newer terms, one of them behind a network partition,
 * the one that came first in a table was written as the primary.
 */
START_TEST(test_primary_of_the_newest_term_is_taken_over)
{
	check_newest_term_is_taken_over(2, 3);
}
END_TEST

START_TEST(test_primary_of_the_newest_term_is_taken_over_in_any_order)
{
	check_newest_term_is_taken_over(3, 2);
}
END_TEST

/*
 * Guards against ONE: the store was restored and lacks a change of primary that this leader goes on
 * with. VMs that have read the store acknowledge the version of the row without knowing the change.
 */
START_TEST(test_change_that_the_store_lacks_is_not_fenced_by_its_version)
{
	static const char text[] = "{\"primary\":\"m-0\",\"term\":1,\"changing\":true}";
	GBytes *body = g_bytes_new_static(text, strlen(text));

	set_up(2, JH_VM_SUSPECT);
	wait_for_entry("put group/db");
	wait_us(200000);
	g_string_truncate(journal, 0);
	version++;
	group_row_version = version;
	publish_row("group/db", body);
	publish_primary(body, true);
	publish_version_of("vm-2");
	wait_us(2500000);
	ck_assert_msg(!strstr(journal->str, "STEPDOWN"), "%s", journal->str);
	/* A voter has written it back. */
	version++;
	group_row_version = version;
	publish_row("group/db", body);
	publish_primary(body, false);
	publish_version_of("vm-2");
	wait_for_entry("promote db m-1");
	g_bytes_unref(body);
}
END_TEST

/*
 * Guards against a group without a primary for good: with synchronous replicas, the primary of a
 * restored row comes back, and a member that has left as planned tells nothing any more.
 */
START_TEST(test_primary_of_an_unproven_row_that_comes_back_shows_the_end_of_its_log)
{
	sync_replicas = 1;
	set_up_restored_store();
	publish_unlisted(2);
	status_rows[0] = NULL;
	status_rows[1] = "replica 1 1.8 0 0 0 1";
	status_rows[2] = NULL;
	wait_for_entry("put era {\"era\":2}");
	publish_era(2, true);
	publish_lease(INT64_MAX);
	wait_us(1500000);
	ck_assert_ptr_null(strstr(journal->str, "promote"));
	status_rows[0] = "primary 1 1.10 0 0 0 1";
	wait_us(500000);
	ck_assert_ptr_null(strstr(journal->str, "promote"));
	status_rows[1] = "replica 1 1.10 0 0 0 1";
	wait_for_entry("promote db m-1 by vm-1");
}
END_TEST

/* The first leader of all confirms the era, so that a copy of the store is known for one. */
START_TEST(test_first_leader_confirms_the_era)
{
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	ck_assert_ptr_nonnull(strstr(journal->str, "put era {\"era\":0}"));
	ck_assert(strstr(journal->str, "put era") < strstr(journal->str, "put group/db"));
}
END_TEST

START_TEST(test_unreachable_primary_is_replaced_after_all_vms_ack)
{
	/* A suspect VM counts as live, but is not placed first for the leader role. */
	set_up(2, JH_VM_SUSPECT);
	wait_for_entry("put group/db");
	status_rows[0] = NULL;
	publish_report();
	wait_us(300000);
	publish_report();
	wait_for_entry("\"changing\":true");
	wait_us(300000);
	ck_assert(!strstr(journal->str, "promote"));
	publish_version_of("vm-2");
	wait_for_entry("promote db m-1");
	wait_for_entry("\"primary\":\"m-1\"");
}
END_TEST

/*
 * Guards against a group without a primary for good: every member replied, but to each request 0.25
 * s late, and START and STATUS together took longer than the timeout.
 */
START_TEST(test_members_that_reply_late_are_promoted)
{
	reply_delay_us = 250000;
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	status_rows[0] = NULL;
	publish_report();
	wait_for_entry("promote db m-1");
	wait_for_entry("put group/db {\"primary\":\"m-1\",\"term\":2");
}
END_TEST

/* Guards against the same with synchronous replicas, whose log is asked for before a change begins.
 */
START_TEST(test_synchronous_replicas_that_reply_late_are_promoted)
{
	int64_t until_us;

	reply_delay_us = 250000;
	sync_replicas = 1;
	set_up(1, JH_VM_LIVE);
	publish_member(2, false, false);
	wait_for_entry("put group/db");
	status_rows[0] = NULL;
	until_us = g_get_monotonic_time() + WAIT_TIMEOUT_US;
	while (!strstr(journal->str, "promote db m-") && g_get_monotonic_time() < until_us) {
		publish_report();
		wait_us(300000);
	}
	ck_assert_msg(strstr(journal->str, "promote db m-"), "%s", journal->str);
}
END_TEST

/*
 * One of two VMs is no majority, so the leader promotes no member before the other one, which may
 * be cut off with its lease, has none without the store.
 */
START_TEST(test_no_promotion_without_majority)
{
	int64_t written_us;

	set_up(2, JH_VM_DEAD);
	wait_for_entry("put group/db");
	publish_member(0, true, true);
	wait_for_entry("\"changing\":true");
	written_us = g_get_monotonic_time();
	wait_us(JH_QUORUM_WITHOUT_STORE_US);
	ck_assert(!strstr(journal->str, "promote"));
	wait_for_entry("promote db m-1 by vm-1");
	ck_assert_int_ge(g_get_monotonic_time() - written_us,
			 JH_QUORUM_WITHOUT_STORE_US + JH_LEASE_MARGIN_US);
}
END_TEST

/* With one of five VMs, not even a VM of each broad quorum has acknowledged. */
START_TEST(test_no_promotion_without_a_blocking_set)
{
	set_up(2, JH_VM_DEAD);
	wait_for_entry("put group/db");
	publish_row_text(JH_VOTERS_ROW,
			 "{\"generation\":2,\"voters\":[\"vm-1\",\"a\",\"b\",\"c\",\"d\"]}");
	publish_member(0, true, true);
	wait_for_entry("\"changing\":true");
	wait_us(3 * JH_QUORUM_WITHOUT_STORE_US);
	ck_assert(!strstr(journal->str, "promote"));
}
END_TEST

/*
 * A report about a group whose row has not been received yet must have no effect. It used to crash
 * the process.
 */
START_TEST(test_report_before_group_row)
{
	set_up(2, JH_VM_LIVE);
	accepts_writes = false;
	publish_report();
	wait_us(400000);
	ck_assert_str_eq(journal->str, "");
}
END_TEST

/*
 * Guards against seconds without a primary: the promoted member had confirmed that it leads, the
 * write of the row failed, and the change began anew with another STEP_DOWN and another poll.
 */
START_TEST(test_failed_write_of_the_new_primary_is_repeated)
{
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	publish_member(0, true, true);
	wait_for_entry("promote db m-1");
	accepts_writes = false;
	wait_us(300000);
	accepts_writes = true;
	wait_for_entry("put group/db {\"primary\":\"m-1\",\"term\":2");
	ck_assert_uint_eq(count_entries("STEPDOWN"), 1);
}
END_TEST

START_TEST(test_no_promotion_while_store_rejects_writes)
{
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	accepts_writes = false;
	publish_member(0, true, true);
	wait_us(1000000);
	ck_assert(!strstr(journal->str, "promote"));
	accepts_writes = true;
	wait_for_entry("promote db m-1");
}
END_TEST

/*
 * Guards against ONE: after a restoration of the store, two VMs acted as leaders, each by a row of
 * before that the other did not know, and the one with the lower fencing token promoted last.
 */
START_TEST(test_leader_claims_its_role_again_in_a_new_era)
{
	GBytes *row;
	char *text;
	const char *begin;

	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	begin = strstr(journal->str, "put lead ") + strlen("put lead ");
	text = g_strndup(begin, strcspn(begin, "\n"));
	row = g_bytes_new_take(text, strlen(text));
	g_string_truncate(journal, 0);
	version = jh_store_version(1, 50);
	publish_row("lead", row);
	g_bytes_unref(row);
	publish_member(0, true, true);
	wait_for_entry("promote db m-1 by vm-1");
	ck_assert(strstr(journal->str, "put lead "));
	ck_assert(strstr(journal->str, "put lead ") < strstr(journal->str, "put group/db"));
	ck_assert(strstr(journal->str, "promote db m-1 by vm-1 fence 16777216"));
}
END_TEST

static void publish_member_gone(const char *id)
{
	jh_member_msg_t *msg = g_rc_box_new0(jh_member_msg_t);

	msg->id = g_intern_string(id);
	jh_publish(store_task, JH_MSG_MEMBER, msg, member_clear);
}

/*
 * Guards against VMs that claim the role from each other every four seconds, since a group has no
 * primary and no member that could become one.
 */
START_TEST(test_group_without_members_is_no_work_for_another_leader)
{
	static const char row[] = "{\"vm\":\"vm-2\",\"boot\":5,\"fence\":1}";
	GBytes *body = g_bytes_new_static(row, strlen(row));
	GBytes *primary = g_bytes_new_static("{\"primary\":\"m-0\",\"term\":1}", 26);

	set_up(2, JH_VM_LIVE);
	publish_row("lead", body);
	publish_primary(primary, false);
	publish_member_gone("m-0");
	publish_member_gone("m-1");
	wait_us(JH_LEADER_STUCK_US + 1500000);
	ck_assert(!strstr(journal->str, "put lead"));
	g_bytes_unref(body);
	g_bytes_unref(primary);
}
END_TEST

START_TEST(test_primary_in_a_drained_dc_is_replaced)
{
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	publish_dc_drain("dc-1", true, jh_boot_time_us());
	wait_for_entry("promote db m-1 by vm-1 fence 1");
	wait_for_entry("put group/db {\"primary\":\"m-1\",\"term\":2,\"changing\":false");
	ck_assert(strstr(journal->str, "member 0 QUERY - STEPDOWN 2"));
}
END_TEST

/* No member can lead the group, so that the primary's row must not change for nothing. */
START_TEST(test_primary_stays_while_every_other_dc_is_drained)
{
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	publish_dc_drain("dc-2", true, jh_boot_time_us());
	publish_dc_drain("dc-1", true, jh_boot_time_us());
	wait_us(600000);
	ck_assert(!strstr(journal->str, "\"changing\":true"));
	publish_dc_drain("dc-2", false, 0);
	wait_for_entry("promote db m-1 by vm-1 fence 1");
}
END_TEST

/* Operators race: the only candidate's data centre is drained while the change is under way. */
START_TEST(test_member_of_a_dc_that_is_drained_meanwhile_is_not_promoted)
{
	set_up(2, JH_VM_SUSPECT);
	wait_for_entry("put group/db");
	publish_dc_drain("dc-1", true, jh_boot_time_us());
	wait_for_entry("\"changing\":true");
	publish_dc_drain("dc-2", true, jh_boot_time_us());
	publish_version_of("vm-2");
	wait_us(600000);
	ck_assert(!strstr(journal->str, "promote"));
	publish_dc_drain("dc-2", false, 0);
	wait_for_entry("promote db m-1 by vm-1 fence 1");
}
END_TEST

/*
 * Operators race: the primary's data centre is used again, and that of the only candidate is
 * drained. The group had no primary until the second drain ended.
 */
START_TEST(test_change_ends_when_the_drain_of_the_primary_ends)
{
	set_up(2, JH_VM_SUSPECT);
	wait_for_entry("put group/db");
	publish_dc_drain("dc-1", true, jh_boot_time_us());
	wait_for_entry("\"changing\":true");
	publish_dc_drain("dc-2", true, jh_boot_time_us());
	publish_dc_drain("dc-1", false, 0);
	wait_for_entry("put group/db {\"primary\":\"m-0\",\"term\":1,\"changing\":false");
	publish_version_of("vm-2");
	wait_us(600000);
	ck_assert(!strstr(journal->str, "promote"));
}
END_TEST

/*
 * Guards against a group that stays without a primary: the other data centre is drained when the
 * primary has stepped down, and the primary's own is free again later.
 */
START_TEST(test_primary_that_stepped_down_is_promoted_again_when_its_dc_is_free)
{
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	status_rows[1] = NULL;
	publish_dc_drain("dc-1", true, jh_boot_time_us());
	wait_for_entry("member 0 QUERY - STEPDOWN 2");
	publish_dc_drain("dc-2", true, jh_boot_time_us());
	wait_us(600000);
	ck_assert_msg(!strstr(journal->str, "promote"), "%s", journal->str);
	publish_dc_drain("dc-1", false, 0);
	wait_for_entry("promote db m-0 by vm-1 fence 1");
	wait_for_entry("put group/db {\"primary\":\"m-0\",\"term\":2,\"changing\":false");
}
END_TEST

/*
 * Guards against the same after a change that can't be cancelled, in which the primary was not told
 * to step down, as its data centre was closed.
 */
START_TEST(test_primary_that_did_not_step_down_is_promoted_again_when_its_dc_is_free)
{
	static const char text[] = "{\"primary\":\"m-0\",\"term\":1,\"changing\":true}";
	GBytes *row = g_bytes_new_static(text, strlen(text));

	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	publish_dc_drain("dc-1", true, INT64_MIN);
	publish_dc_drain("dc-2", true, INT64_MIN);
	group_row_version = ++version;
	publish_primary(row, false);
	wait_us(600000);
	ck_assert_msg(!strstr(journal->str, "STEPDOWN"), "%s", journal->str);
	publish_dc_drain("dc-1", false, 0);
	wait_for_entry("member 0 QUERY - STEPDOWN 2");
	wait_for_entry("promote db m-0 by vm-1 fence 1");
	g_bytes_unref(row);
}
END_TEST

/* A leader that learns of the drain late sends nothing to the primary, not even STEP_DOWN. */
START_TEST(test_member_gets_no_request_after_the_bound_of_its_drain)
{
	unsigned before;

	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	wait_us(300000);
	before = request_counts[0];
	publish_dc_drain("dc-1", true, INT64_MIN);
	publish_report();
	wait_for_entry("put group/db {\"primary\":\"m-1\",\"term\":2,\"changing\":false");
	ck_assert_uint_eq(request_counts[0], before);
}
END_TEST

/* Begins a change, because neither this VM nor the other one reaches m-0; vm-2 acknowledges none.
 */
static void begin_change_of_silent_primary(void)
{
	set_up(2, JH_VM_SUSPECT);
	wait_for_entry("put group/db");
	status_rows[0] = NULL;
	publish_report();
	wait_us(300000);
	publish_report();
	wait_for_entry("\"changing\":true");
}

#define CANCELLED_ROW "put group/db {\"primary\":\"m-0\",\"term\":1,\"changing\":false"

/* Return: whether the journal has @entry after @after */
static bool has_entry_after(const char *entry, const char *after)
{
	const char *begin = strstr(journal->str, after);

	return begin && strstr(begin, entry);
}

/*
 * Guards against a promotion while other VMs may still use the old primary: a leader that had just
 * restarted knew only itself, and took the change for acknowledged by all VMs.
 */
START_TEST(test_change_is_not_fenced_before_the_list_of_vms_is_read)
{
	begin_change_of_silent_primary();
	publish_vms_read(1, JH_VM_LIVE, false);
	wait_us(800000);
	ck_assert(!strstr(journal->str, "STEPDOWN"));
	ck_assert(!strstr(journal->str, "promote"));
	publish_version_of("vm-2");
	wait_for_entry("promote db m-1");
}
END_TEST

/*
 * Guards against a group without a primary for seconds after a network partition: the change of
 * primary went on, though the old primary responded again and no member had been promoted.
 */
START_TEST(test_change_is_cancelled_when_the_primary_responds_again)
{
	begin_change_of_silent_primary();
	status_rows[0] = "primary 1 1.10 0 0 0 1";
	g_string_truncate(journal, 0);
	wait_for_entry(CANCELLED_ROW);
	ck_assert(has_entry_after("expect lead", CANCELLED_ROW));
	publish_version_of("vm-2");
	wait_us(1000000);
	ck_assert(!strstr(journal->str, "STEPDOWN"));
	ck_assert(!strstr(journal->str, "promote"));
	/* The next change begins so soon that it is not cancelled. */
	status_rows[0] = NULL;
	g_string_truncate(journal, 0);
	publish_report();
	wait_us(300000);
	publish_report();
	wait_for_entry("\"changing\":true");
	status_rows[0] = "primary 1 1.10 0 0 0 1";
	wait_us(1000000);
	ck_assert(!strstr(journal->str, CANCELLED_ROW));
	publish_version_of("vm-2");
	wait_for_entry("promote db m-1");
}
END_TEST

/* The leader dies after the store has applied the cancelling write: the reply is lost. */
START_TEST(test_change_is_cancelled_once_if_the_reply_is_lost)
{
	begin_change_of_silent_primary();
	loses_next_answer = true;
	status_rows[0] = "primary 1 1.10 0 0 0 1";
	g_string_truncate(journal, 0);
	wait_for_entry(CANCELLED_ROW);
	publish_version_of("vm-2");
	wait_us(1000000);
	ck_assert_ptr_null(strstr(strstr(journal->str, CANCELLED_ROW) + 1, "put group/db"));
	ck_assert(!strstr(journal->str, "promote"));
}
END_TEST

START_TEST(test_change_of_a_draining_primary_is_not_cancelled)
{
	set_up(2, JH_VM_SUSPECT);
	wait_for_entry("put group/db");
	publish_member(0, true, true);
	wait_for_entry("\"changing\":true");
	g_string_truncate(journal, 0);
	wait_us(700000);
	ck_assert(!strstr(journal->str, CANCELLED_ROW));
	publish_version_of("vm-2");
	wait_for_entry("promote db m-1");
}
END_TEST

static void deliver_report(const char *vm)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_PRIMARY_REPORT);

	frame->primary_report->group = jh_frame_strdup("db");
	frame->primary_report->member = jh_frame_strdup("m-0");
	jh_frame_deliver(store_task, vm, 1, frame);
}

/* A VM repeats its report until a change begins; one report counts for 1.5 s only. */
static void begin_change_by_reports(const char *vm)
{
	int64_t until = g_get_monotonic_time() + WAIT_TIMEOUT_US;

	while (!strstr(journal->str, "\"changing\":true")) {
		ck_assert_msg(g_get_monotonic_time() < until, "no change in:\n%s", journal->str);
		deliver_report(vm);
		wait_us(100000);
	}
}

/*
 * Guards against changes that are cancelled and begin again: the leader reaches the primary, and
 * too many other VMs don't. During the change they make no reports.
 */
START_TEST(test_change_for_other_vms_is_not_cancelled)
{
	set_up(2, JH_VM_SUSPECT);
	wait_for_entry("put group/db");
	begin_change_by_reports("vm-2");
	g_string_truncate(journal, 0);
	wait_us(2500000);
	ck_assert(!strstr(journal->str, CANCELLED_ROW));
	publish_version_of("vm-2");
	wait_for_entry("promote db m-1");
}
END_TEST

/* Makes this VM take over, from a leader that is dead, the change whose row is @text. */
static void take_over_change(const char *text)
{
	static const char row[] = "{\"vm\":\"vm-2\",\"boot\":5,\"fence\":1}";
	GBytes *leader = g_bytes_new_static(row, strlen(row));
	GBytes *group = g_bytes_new_static(text, strlen(text));

	set_up(3, JH_VM_SUSPECT);
	publish_row("lead", leader);
	group_row_version = version;
	publish_primary(group, false);
	publish_vms(3, JH_VM_DEAD);
	wait_for_entry("put lead");
	g_bytes_unref(leader);
	g_bytes_unref(group);
}

#define CHANGING_ROW "{\"primary\":\"m-0\",\"term\":1,\"changing\":true"

/* Guards against a change that goes on only because its leader died. */
START_TEST(test_next_leader_cancels_a_change_without_target)
{
	take_over_change(CHANGING_ROW ",\"revocableEra\":0}");
	wait_for_entry(CANCELLED_ROW);
	ck_assert(!strstr(journal->str, "promote"));
}
END_TEST

/*
 * Guards against ONE: an earlier leader has written a target, and may have promoted it. The old
 * primary still responds as one, since it has not heard of the other.
 */
START_TEST(test_next_leader_does_not_cancel_a_change_with_target)
{
	take_over_change(CHANGING_ROW ",\"target\":\"m-1\",\"revocableEra\":0}");
	wait_us(1500000);
	ck_assert(!strstr(journal->str, CANCELLED_ROW));
	publish_version_of("vm-2");
	publish_version_of("vm-3");
	wait_for_entry("promote db m-1");
	ck_assert(!strstr(journal->str, CANCELLED_ROW));
}
END_TEST

/* Guards against ONE: the store was restored from a copy made before the target was written. */
START_TEST(test_change_that_began_in_an_earlier_era_is_not_cancelled)
{
	take_over_change(CHANGING_ROW ",\"revocableEra\":7}");
	wait_us(1500000);
	ck_assert(!strstr(journal->str, CANCELLED_ROW));
}
END_TEST

/* Lets the VMs acknowledge a change that this VM takes over, m-0 having stepped down with more log.
 */
static void take_over_with_longer_log(const char *text)
{
	take_over_change(text);
	status_rows[0] = "replica 1 1.20 0 0 0 1";
	stepped_down_row = status_rows[0];
	publish_version_of("vm-2");
	publish_version_of("vm-3");
}

/*
 * Guards against LOST: the old primary had stepped down with commits that no replica could receive
 * any more, and a replica without them was promoted after 1.5 s.
 */
START_TEST(test_old_primary_with_the_longest_log_is_promoted_again)
{
	take_over_with_longer_log(CHANGING_ROW ",\"revocableEra\":0}");
	wait_for_entry("promote db m-0 by vm-1 fence 2");
	wait_for_entry("put group/db {\"primary\":\"m-0\",\"term\":2,\"changing\":false");
	ck_assert(strstr(journal->str, "\"target\":\"m-0\""));
	ck_assert(!strstr(journal->str, "promote db m-1"));
}
END_TEST

/* Guards against ONE: an earlier leader may have promoted m-1, which replied to it only. */
START_TEST(test_old_primary_is_not_promoted_again_after_another_target)
{
	take_over_with_longer_log(CHANGING_ROW ",\"target\":\"m-1\",\"revocableEra\":0}");
	wait_for_entry("promote db m-1 by vm-1 fence 2");
	ck_assert(!strstr(journal->str, "promote db m-0"));
}
END_TEST

/*
 * Guards against LOST: the old primary was the target, and the reply to that write was lost. A
 * replica without its last commits was promoted then.
 */
START_TEST(test_old_primary_stays_the_target_after_a_lost_reply)
{
	take_over_change(CHANGING_ROW ",\"revocableEra\":0}");
	status_rows[0] = "replica 1 1.20 0 0 0 1";
	stepped_down_row = status_rows[0];
	loses_next_answer = true;
	publish_version_of("vm-2");
	publish_version_of("vm-3");
	wait_for_entry("\"target\":\"m-0\"");
	wait_us(50000);
	publish_version_of("vm-2");
	publish_version_of("vm-3");
	wait_for_entry("promote db");
	ck_assert_msg(strstr(journal->str, "promote db m-0"), "%s", journal->str);
}
END_TEST

START_TEST(test_draining_old_primary_is_not_promoted_again)
{
	take_over_change(CHANGING_ROW ",\"revocableEra\":0}");
	status_rows[0] = "replica 1 1.20 0 0 0 1";
	stepped_down_row = status_rows[0];
	publish_member(0, true, true);
	wait_us(50000);
	publish_version_of("vm-2");
	publish_version_of("vm-3");
	wait_for_entry("promote db m-1 by vm-1 fence 2");
	ck_assert(!strstr(journal->str, "promote db m-0"));
}
END_TEST

/* Guards against the use of a member that has left: its registration goes while it still replies.
 */
START_TEST(test_old_primary_that_has_left_is_not_promoted_again)
{
	take_over_with_longer_log(CHANGING_ROW ",\"revocableEra\":0}");
	wait_us(1150000);
	publish_member_gone("m-0");
	wait_for_entry("promote db m-1 by vm-1 fence 2");
	ck_assert(!strstr(journal->str, "promote db m-0"));
}
END_TEST

/*
 * Guards against a reply of the store that counts for another group, too: replies were told apart
 * by a hash of the group's name, which is the same for these two. A group whose write had failed
 * went on as if it had succeeded, which could be a promotion without its target in the store.
 */
START_TEST(test_reply_counts_for_its_own_group_only)
{
	int64_t until_us;

	ck_assert_uint_eq(g_str_hash("ar"), g_str_hash("c0"));
	member_groups[0] = "ar";
	member_groups[1] = "c0";
	refused_row = "group/c0";
	set_up(1, JH_VM_LIVE);
	status_rows[1] = "primary 1 1.10 0 0 0 1";
	publish_member(1, true, false);
	until_us = g_get_monotonic_time() + WAIT_TIMEOUT_US;
	while (count_entries("refuse group/c0") < 3) {
		ck_assert_int_lt(g_get_monotonic_time(), until_us);
		run_once();
	}
	wait_us(500000);
	ck_assert_uint_eq(count_entries("put group/ar"), 1);
}
END_TEST

/*
 * Guards against two leaders that both send a promotion: the reply to the write of the target was
 * read late, when the next leader could have promoted another member, and the time for the
 * promotion began only then.
 */
START_TEST(test_no_promotion_after_a_late_reply_to_the_target)
{
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	holds_next_target = true;
	publish_member(0, true, true);
	wait_for_entry("\"target\":\"m-1\"");
	wait_us(1200000);
	ck_assert_ptr_nonnull(held_reply);
	jh_post(store_task, held_reply_to, JH_MSG_PLATFORM_REPLY, g_steal_pointer(&held_reply),
		jh_platform_reply_clear);
	wait_for_entry("promote db m-1");
	ck_assert_uint_eq(count_entries("\"target\":\"m-1\""), 2);
}
END_TEST

/*
 * Guards against a hand-over in which both leaders act: a leader that was suspended made the
 * primary step down, after the next one had cancelled the change.
 */
START_TEST(test_primary_does_not_step_down_for_a_leader_without_lease)
{
	set_up(1, JH_VM_LIVE);
	wait_for_entry("put group/db");
	publish_lease(jh_boot_time_us());
	publish_member(0, true, true);
	wait_for_entry("\"changing\":true");
	wait_us(500000);
	ck_assert(!strstr(journal->str, "STEPDOWN"));
	publish_lease(INT64_MAX);
	wait_for_entry("STEPDOWN");
	wait_for_entry("promote db m-1");
}
END_TEST

/* The other VM leads the group's change; the third one is @third. */
static void follow_change(jh_vm_state_t third)
{
	static const char row[] = "{\"vm\":\"vm-2\",\"boot\":5,\"fence\":1}";
	GBytes *leader = g_bytes_new_static(row, strlen(row));
	GBytes *group = g_bytes_new_static(CHANGING_ROW "}", strlen(CHANGING_ROW "}"));

	set_up(3, JH_VM_LIVE);
	publish_row("lead", leader);
	group_row_version = version;
	publish_primary(group, false);
	publish_vms(3, third);
	g_bytes_unref(leader);
	g_bytes_unref(group);
}

static void publish_report_of(const char *group, const char *member)
{
	jh_primary_report_msg_t *msg = g_rc_box_new0(jh_primary_report_msg_t);

	msg->group = g_intern_string(group);
	msg->member = g_intern_string(member);
	jh_publish(store_task, JH_MSG_PRIMARY_REPORT, msg, NULL);
}

/*
 * Guards against groups that wait for one another: a VM sent one report at a time for all groups,
 * so that a second primary that did not respond was reported later.
 */
START_TEST(test_reports_of_two_groups_are_sent_at_once)
{
	unsigned groups = 0;

	member_groups[1] = "db-2";
	follow_change(JH_VM_LIVE);
	wait_us(50000);
	reports_sent = 0;
	publish_report_of("db", "m-0");
	publish_report_of("db-2", "m-1");
	publish_report_of("db-2", "m-1");
	wait_us(100000);
	groups = reports_sent;
	ck_assert_uint_eq(groups, 2);
}
END_TEST

/* Guards against LOST (review/11): the leader asks alone whether a former replica is there. */
START_TEST(test_voter_reports_a_former_replica_to_the_leader)
{
	sync_replicas = 1;
	follow_change(JH_VM_LIVE);
	publish_member(2, false, false);
	wait_us(200000);
	reports_sent = 0;
	publish_unlisted(2);
	wait_us(1200000);
	ck_assert_uint_ge(reports_sent, 2);
	ck_assert_uint_ge(request_counts[2], 2);
	publish_member(2, false, false);
	wait_us(600000);
	reports_sent = 0;
	wait_us(1000000);
	ck_assert_uint_eq(reports_sent, 0);
}
END_TEST

/*
 * Guards against STALE: a VM is removed from the list, since the leader does not reach it, and a
 * change of primary that all other VMs acknowledge does not wait until its lease has expired.
 */
START_TEST(test_change_waits_for_the_lease_of_a_removed_vm)
{
	static const jh_vm_state_t states[] = { JH_VM_LIVE, JH_VM_DEAD, JH_VM_LIVE };
	int64_t until_us = g_get_monotonic_time() + WAIT_TIMEOUT_US;
	GPtrArray *vms = g_ptr_array_new();
	int64_t removed_us;
	unsigned i;

	set_up(3, JH_VM_DEAD);
	wait_for_entry("put group/db");
	for (i = 0; i < G_N_ELEMENTS(states); i++) {
		char *name = g_strdup_printf("vm-%u", i + 1);
		const jh_vm_t vm = { .name = name,
				     .dc = (char *)"dc-1",
				     .host = (char *)"127.0.0.1",
				     .port = 1,
				     .state = states[i] };

		g_ptr_array_add(vms, jh_vm_copy(&vm));
		g_free(name);
	}
	jh_vms_publish(store_task, vms, true);
	while (!strstr(journal->str, "put vm/vm-2")) {
		ck_assert_msg(g_get_monotonic_time() < until_us, "%s", journal->str);
		publish_version_of("vm-3");
		wait_us(50000);
	}
	removed_us = g_get_monotonic_time();
	ck_assert(strstr(journal->str, "\"previous\":[\"vm-1\",\"vm-2\",\"vm-3\"]"));
	publish_member(0, true, true);
	while (!strstr(journal->str, "promote db m-1 by vm-1")) {
		ck_assert_msg(g_get_monotonic_time() < until_us, "%s", journal->str);
		publish_version_of("vm-3");
		wait_us(50000);
	}
	ck_assert_int_ge(g_get_monotonic_time() - removed_us, JH_LEASE_US);
}
END_TEST

/*
 * Guards against two majorities: a leader that lacks rows of before its own write may lack the
 * voters of that time, and others count among those.
 */
START_TEST(test_leader_counts_nobody_before_its_mirror_has_its_write)
{
	set_up(3, JH_VM_SUSPECT);
	wait_for_entry("put group/db");
	wait_us(200000);
	own_mirror_lags = true;
	publish_member(0, true, true);
	wait_for_entry("\"changing\":true");
	publish_version_of("vm-2");
	publish_version_of("vm-3");
	wait_us(2000000);
	ck_assert_msg(!strstr(journal->str, "STEPDOWN"), "%s", journal->str);
	own_mirror_lags = false;
	publish_version_of("vm-1");
	wait_for_entry("promote db m-1 by vm-1");
}
END_TEST

/* Guards against a claim of the role by a VM that does not see a majority, see test_lead_claim.c.
 */
START_TEST(test_role_is_not_claimed_while_a_majority_is_out_of_reach)
{
	follow_change(JH_VM_SUSPECT);
	wait_us(JH_LEADER_STUCK_US + 1500000);
	ck_assert(!strstr(journal->str, "put lead"));
	publish_vms(3, JH_VM_LIVE);
	wait_us(JH_LEADER_STUCK_US / 2);
	ck_assert(!strstr(journal->str, "put lead"));
	wait_for_entry("put lead");
}
END_TEST

/*
 * The leader makes no progress with a drain, so that another VM must claim its role; but not while
 * no member could replace the primary, or VMs would claim it from each other for nothing.
 */
START_TEST(test_drain_is_work_for_another_leader_only_with_a_successor)
{
	static const char row[] = "{\"vm\":\"vm-2\",\"boot\":5,\"fence\":1}";
	GBytes *body = g_bytes_new_static(row, strlen(row));
	GBytes *primary = g_bytes_new_static("{\"primary\":\"m-0\",\"term\":1}", 26);

	set_up(2, JH_VM_LIVE);
	publish_row("lead", body);
	publish_primary(primary, false);
	group_row_version = version;
	publish_dc_drain("dc-1", true, jh_boot_time_us());
	publish_dc_drain("dc-2", true, jh_boot_time_us());
	wait_us(JH_LEADER_STUCK_US + 1500000);
	ck_assert(!strstr(journal->str, "put lead"));
	publish_dc_drain("dc-2", false, 0);
	wait_for_entry("put lead");
	wait_for_entry("put group/db {\"primary\":\"m-0\",\"term\":1,\"changing\":true");
	g_bytes_unref(body);
	g_bytes_unref(primary);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_row_names_existing_primary,
		test_second_claim_does_not_keep_a_group_without_primary,
		test_claim_of_an_earlier_term_is_not_chosen,
		test_malformed_row_of_a_group_is_written_again,
		test_malformed_row_of_the_leader_keeps_its_token,
		test_members_that_repeat_replies_are_not_taken_for_dead,
		test_draining_primary_is_replaced,
		test_change_goes_on_after_a_lost_answer,
		test_successor_waits_for_a_member_that_may_register_again,
		test_unlisted_member_that_replies_is_not_passed_over,
		test_lost_member_is_given_up_once_the_others_have_its_log,
		test_replica_that_another_vm_reaches_is_not_given_up,
		test_replica_is_given_up_once_every_vm_has_asked_in_vain,
		test_member_without_an_acknowledged_commit_is_not_promoted,
		test_acknowledged_position_counts_only_if_a_replica_was_given_up,
		test_voter_reports_a_former_replica_to_the_leader,
		test_change_waits_for_the_lease_of_a_removed_vm,
		test_leader_counts_nobody_before_its_mirror_has_its_write,
		test_member_that_was_replaced_does_not_count,
		test_member_that_started_anew_proves_nothing,
		test_leaving_member_is_promoted_if_only_it_has_the_commits,
		test_planned_change_waits_for_a_replica_that_receives,
		test_restarted_leader_counts_a_member_that_is_not_registered_any_more,
		test_restarted_leader_does_not_wait_for_a_member_that_was_given_up,
		test_restarted_leader_gives_up_a_member_that_it_has_never_seen,
		test_replicas_stay_recorded_until_they_do_not_matter,
		test_replicas_are_recorded_by_a_vm_that_does_not_lead,
		test_primary_of_a_restored_row_is_replaced_by_the_one_that_leads,
		test_old_primary_that_still_leads_its_term_is_not_used,
		test_newer_term_of_an_earlier_poll_is_not_forgotten,
		test_restored_row_that_holds_is_not_written,
		test_restored_row_is_proven_without_a_lost_member,
		test_restored_primary_is_not_used_while_a_registered_member_is_silent,
		test_restored_primary_is_not_promoted_while_a_newer_quorum_may_exist,
		test_change_of_a_restored_store_does_not_end_while_a_newer_quorum_may_exist,
		test_group_whose_restored_primary_is_lost_gets_another_one,
		test_unproven_change_is_not_cancelled_by_the_old_primary_alone,
		test_primary_of_the_newest_term_is_taken_over,
		test_primary_of_the_newest_term_is_taken_over_in_any_order,
		test_change_that_the_store_lacks_is_not_fenced_by_its_version,
		test_primary_of_an_unproven_row_that_comes_back_shows_the_end_of_its_log,
		test_primary_of_an_unproven_row_with_the_longest_log_is_promoted_again,
		test_first_leader_confirms_the_era,
		test_unreachable_primary_is_replaced_after_all_vms_ack,
		test_members_that_reply_late_are_promoted,
		test_synchronous_replicas_that_reply_late_are_promoted,
		test_no_promotion_without_majority,
		test_no_promotion_without_a_blocking_set,
		test_report_before_group_row,
		test_failed_write_of_the_new_primary_is_repeated,
		test_no_promotion_while_store_rejects_writes,
		test_leader_claims_its_role_again_in_a_new_era,
		test_group_without_members_is_no_work_for_another_leader,
		test_primary_in_a_drained_dc_is_replaced,
		test_primary_stays_while_every_other_dc_is_drained,
		test_member_of_a_dc_that_is_drained_meanwhile_is_not_promoted,
		test_change_ends_when_the_drain_of_the_primary_ends,
		test_primary_that_stepped_down_is_promoted_again_when_its_dc_is_free,
		test_primary_that_did_not_step_down_is_promoted_again_when_its_dc_is_free,
		test_member_gets_no_request_after_the_bound_of_its_drain,
		test_change_is_not_fenced_before_the_list_of_vms_is_read,
		test_change_is_cancelled_when_the_primary_responds_again,
		test_change_is_cancelled_once_if_the_reply_is_lost,
		test_change_of_a_draining_primary_is_not_cancelled,
		test_change_for_other_vms_is_not_cancelled,
		test_next_leader_cancels_a_change_without_target,
		test_next_leader_does_not_cancel_a_change_with_target,
		test_change_that_began_in_an_earlier_era_is_not_cancelled,
		test_old_primary_with_the_longest_log_is_promoted_again,
		test_old_primary_is_not_promoted_again_after_another_target,
		test_old_primary_stays_the_target_after_a_lost_reply,
		test_draining_old_primary_is_not_promoted_again,
		test_old_primary_that_has_left_is_not_promoted_again,
		test_primary_does_not_step_down_for_a_leader_without_lease,
		test_reply_counts_for_its_own_group_only,
		test_no_promotion_after_a_late_reply_to_the_target,
		test_reports_of_two_groups_are_sent_at_once,
		test_role_is_not_claimed_while_a_majority_is_out_of_reach,
		test_drain_is_work_for_another_leader_only_with_a_successor,
		NULL,
	};

	return run_tests("lead", tests);
}
