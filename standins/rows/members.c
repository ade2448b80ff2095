#include "rows.h"

#include "jh_line.h"
#include "slice.h"

#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Members with their line protocol: a primary and replicas of each service, with logs that are
 * replicated some time after a commit, sessions with values, prepared statements and transactions,
 * and promotions. A thread serves each connection; all state is under the store's mutex.
 *
 * What ran is kept, so that a test can compare it with what its callers were told. The id of a
 * statement begins with the name of its session and '-'; a session of a test sets the value "who"
 * to its name, or to its name, a blank and any bytes, and ends the shapes that it prepares with its
 * name, so that a member sees a statement that runs with another session's values.
 */

#define SLOTS 4u
#define CONNECTIONS_MAX 24u
#define WAITING_MAX 16u

/* Time of a statement, and of a commit on its way to a replica; microseconds. */
#define WORK_MIN_US 300
#define WORK_MAX_US 3000
#define REPLICATION_US (20 * INT64_C(1000))

/* Interval at which a commit that waits for its copies looks for them, microseconds. */
#define COPY_POLL_US 1000

/* A replica applies a commit this long after it has received it, microseconds. */
#define APPLY_LAG_US (30 * INT64_C(1000))

/* A primary of an earlier term ends this long after it can reach the new one, microseconds. */
#define STEP_DOWN_US (1000 * INT64_C(1000))

/* Name that the leader sends in START, where callers' connections send the name of a team. */
#define LEADER_NAME "jasminehill"

/* A second answer that is sent while the connection is idle comes at most as much later. */
#define REPEAT_MAX_US (40 * 1000)

#define PROMOTION_MS 300u
#define LAPSE_MS 3600u
#define LEAVE_EXTRA_MS 2500u

typedef struct write {
	char *id;
	char *item;
	GBytes *data;
} write_t;

/* When a second answer is sent. */
typedef enum repeat_moment {
	REPEAT_IN_SEGMENT,
	REPEAT_IDLE,
	/* In two parts, the first of them while the connection is idle. */
	REPEAT_IN_PARTS,
	/* With the next statement. */
	REPEAT_NEXT,
	REPEAT_MOMENTS,
} repeat_moment_t;

static const char *const repeat_moment_names[REPEAT_MOMENTS] = {
	[REPEAT_IN_SEGMENT] = "segment",
	[REPEAT_IDLE] = "idle",
	[REPEAT_IN_PARTS] = "parts",
	[REPEAT_NEXT] = "next",
};

/* A time in which the primary of the newest term does not have a commit; it ends at 0 if it lasts.
 */
typedef struct absence {
	int64_t from_us;
	int64_t to_us;
} absence_t;

/* A commit in logs, a box of g_rc_box_new0(). */
typedef struct commit {
	/* Borrowed from the member. */
	const char *service;
	uint64_t term;
	uint64_t index;
	int64_t committed_us;
	/* write_t * */
	GPtrArray *writes;
	/* Another member led a later term at that moment. */
	bool is_late;
	/* absence_t, in the order of time: promotions roll commits back. */
	GArray *absences;
} commit_t;

typedef struct member {
	members_t *members;
	char *id;
	char *service;
	char *zone;
	unsigned port;
	int listen_fd;
	bool is_up;
	bool is_primary;
	/* It led the term that it is in. */
	bool was_primary;
	bool is_cut;
	/* Each answer is sent that much later. */
	unsigned late_ms;
	bool is_deaf;
	/* Shares of the statements that it answers twice, and with BUSY, percent. */
	unsigned repeat_percent;
	unsigned busy_percent;
	/* repeat_moment_t: those to draw from. */
	GArray *repeat_moments;
	bool has_left;
	uint64_t term;
	int64_t born_ms;
	/* When it registered as draining, and for how long it must get work then; 0 if it does not.
	 */
	int64_t draining_since_us;
	int64_t drain_us;
	/* Since when a primary of an earlier term has been able to reach the new one, or 0. */
	int64_t reaches_new_us;
	/* commit_t *: the first @applied of them are visible to reads at a replica. */
	GPtrArray *log;
	unsigned applied;
	unsigned busy;
	unsigned waiting;
	/* It is cold for that long after its next start, and gets no more lines in a second. */
	unsigned cold_ms;
	unsigned cold_limit;
	/* Until when it is cold, and when it got lines while it was, int64_t. */
	int64_t cold_until_us;
	GArray *cold_lines;
	/* Descriptors of the open connections, int. */
	GArray *fds;
	unsigned sequence;
} member_t;

struct members {
	store_t *store;
	/* member_t * */
	GPtrArray *all;
	/* commit_t *: every commit, also those that a promotion rolled back. */
	GPtrArray *commits;
	/*
	 * Arrays [id, member, signature, row, text, who, shape]: the text without AFTER, the value
	 * "who" of the session, and the shape of the prepared statement, if it was one. The bytes
	 * of the last four are in hexadecimal.
	 */
	json_t *statements;
	/* Strings. */
	json_t *violations;
	json_t *late_statements;
	uint64_t signatures;
	uint64_t fence;
	char *fence_holder;
	/* Replicas that must have received a commit before it is acknowledged. */
	unsigned sync_replicas;
	unsigned threads;
	GCond changed;
	bool is_stopping;
};

typedef struct session {
	member_t *member;
	int fd;
	bool is_of_leader;
	char state;
	bool is_read_only;
	/* Name of the session that the transaction belongs to, NULL outside a transaction. */
	char *owner;
	/* write_t *: writes of the transaction. */
	GPtrArray *writes;
	/* Name to GBytes. */
	GHashTable *values;
	/* Name to "READ SHAPE" or "WRITE SHAPE", GBytes. */
	GHashTable *prepared;
	/* Its commit has too few copies, so that it gets no answer. */
	bool is_unanswered;
	/* Bytes received and not yet handled. */
	GString *in;
	/* The last answer, or the rest of it, that is still to be sent again; else NULL. */
	GString *repeat;
	repeat_moment_t repeat_moment;
	/* It lacks its READY, which gets this state and the position of its moment. */
	bool lacks_ready;
	char repeat_state;
	/* When it is sent if no statement comes before. */
	int64_t repeat_due_us;
} session_t;

/* A statement that is being handled. */
typedef struct statement {
	char *id;
	/* Its text without AFTER. */
	slice_t text;
	slice_t words[3];
	unsigned count;
	/* What it prepared, of an EXEC; else NULL. */
	GBytes *shape;
} statement_t;

static void add_violation(members_t *members, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void add_violation(members_t *members, const char *format, ...)
{
	char *text;
	va_list args;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	json_array_append_new(members->violations, json_string(text));
	g_free(text);
}

/* ---- Logs ---- */

static void write_free(void *data)
{
	write_t *write = data;

	g_free(write->id);
	g_free(write->item);
	g_bytes_unref(write->data);
	g_free(write);
}

static void commit_clear(void *data)
{
	commit_t *commit = data;

	g_ptr_array_unref(commit->writes);
	g_array_unref(commit->absences);
}

static void commit_unref(void *commit)
{
	g_rc_box_release_full(commit, commit_clear);
}

/* Notes whether the log of the newest term lacks the commit from now on. */
static void commit_set_absent(commit_t *commit, bool is_absent)
{
	absence_t *last = commit->absences->len > 0 ? &g_array_index(commit->absences, absence_t,
								     commit->absences->len - 1) :
						      NULL;
	bool was_absent = last && last->to_us == 0;
	absence_t absence = { .from_us = g_get_monotonic_time() };

	if (is_absent && !was_absent)
		g_array_append_val(commit->absences, absence);
	else if (!is_absent && was_absent)
		last->to_us = g_get_monotonic_time();
}

static member_t *member_find(const members_t *members, const char *id)
{
	unsigned i;

	for (i = 0; i < members->all->len; i++) {
		member_t *member = g_ptr_array_index(members->all, i);

		if (g_str_equal(member->id, id))
			return member;
	}
	return NULL;
}

static uint64_t service_term(const members_t *members, const char *service)
{
	uint64_t term = 0;
	unsigned i;

	for (i = 0; i < members->all->len; i++) {
		const member_t *member = g_ptr_array_index(members->all, i);

		if (g_str_equal(member->service, service))
			term = MAX(term, member->term);
	}
	return term;
}

/*
 * Return: the primary of the newest term; NULL if it has stepped down. A primary of an earlier term
 * is none, as the members that know the newer term do not follow it.
 */
static member_t *service_primary(const members_t *members, const char *service)
{
	uint64_t term = service_term(members, service);
	unsigned i;

	for (i = 0; i < members->all->len; i++) {
		member_t *member = g_ptr_array_index(members->all, i);

		if (member->is_primary && member->term == term &&
		    g_str_equal(member->service, service))
			return member;
	}
	return NULL;
}

/*
 * Return: the member whose log the others receive: the primary, or the one that was it last and has
 * stepped down
 */
static member_t *service_source(const members_t *members, const char *service)
{
	member_t *source = service_primary(members, service);
	unsigned i;

	for (i = 0; !source && i < members->all->len; i++) {
		member_t *member = g_ptr_array_index(members->all, i);

		if (member->was_primary && g_str_equal(member->service, service) &&
		    member->term == service_term(members, service))
			source = member;
	}
	return source;
}

/* Drops what the primary does not have, and receives what it committed some time ago. */
static void member_receive(member_t *member, const member_t *primary, int64_t now_us)
{
	unsigned kept = MIN(member->log->len, primary->log->len);

	while (kept > 0 && member->log->pdata[kept - 1] != primary->log->pdata[kept - 1])
		kept--;
	if (kept < member->log->len)
		g_ptr_array_set_size(member->log, (int)kept);
	while (member->log->len < primary->log->len) {
		commit_t *commit = primary->log->pdata[member->log->len];

		if (now_us - commit->committed_us < REPLICATION_US)
			break;
		g_ptr_array_add(member->log, g_rc_box_acquire(commit));
	}
	if (member->term != primary->term)
		member->was_primary = false;
	member->term = primary->term;
}

static void member_register(member_t *member);

static void member_become_replica(member_t *member)
{
	member->is_primary = false;
	member->applied = member->log->len;
	member->reaches_new_us = 0;
	member_register(member);
}

/* Brings the logs of the service's members up to now. */
static void service_replicate(members_t *members, const char *service)
{
	member_t *primary = service_source(members, service);
	int64_t now_us = g_get_monotonic_time();
	unsigned i;

	if (!primary)
		return;
	for (i = 0; i < members->all->len; i++) {
		member_t *member = g_ptr_array_index(members->all, i);
		bool reaches =
			member->is_up && !member->is_cut && primary->is_up && !primary->is_cut;

		if (!g_str_equal(member->service, service) || member == primary)
			continue;
		if (member->is_primary && !reaches)
			member->reaches_new_us = 0;
		else if (member->is_primary && member->reaches_new_us == 0)
			member->reaches_new_us = now_us;
		else if (member->is_primary && now_us - member->reaches_new_us >= STEP_DOWN_US)
			member_become_replica(member);
		if (reaches && !member->is_primary)
			member_receive(member, primary, now_us);
		member->applied = MIN(member->applied, member->log->len);
		while (member->applied < member->log->len &&
		       now_us - ((commit_t *)member->log->pdata[member->applied])->committed_us >=
			       REPLICATION_US + APPLY_LAG_US)
			member->applied++;
	}
}

static unsigned member_visible(const member_t *member)
{
	return member->is_primary ? member->log->len : member->applied;
}

static void put_position(const member_t *member, unsigned length, GString *out)
{
	const commit_t *last = length > 0 ? member->log->pdata[length - 1] : NULL;

	g_string_append_printf(out, "%" G_GUINT64_FORMAT ".%u", last ? last->term : 1, length);
}

static void put_ready(const member_t *member, char state, GString *out)
{
	g_string_append_printf(out, "READY %c ", state);
	put_position(member, member_visible(member), out);
	g_string_append(out, "\r\n");
}

/* ---- Registrations ---- */

static void member_register(member_t *member)
{
	int64_t cold_left_us = MAX(member->cold_until_us - g_get_monotonic_time(), 0);
	char *text = g_strdup_printf(
		"{\"service\":\"%s\",\"addr\":\"127.0.0.1:%u\",\"zone\":\"%s\",\"version\":\"1\","
		"\"slots\":%u,\"state\":\"%s\",\"coldLeftMs\":%d,\"seq\":%u,\"dbRole\":\"%s\","
		"\"born\":%" G_GINT64_FORMAT "}",
		member->service, member->port, member->zone, SLOTS,
		member->draining_since_us ? "draining" : "ready", (int)(cold_left_us / 1000),
		++member->sequence, member->is_primary ? "primary" : "replica", member->born_ms);

	store_write(member->members->store, "servers", member->id, text);
	g_free(text);
}

/* ---- Sessions ---- */

static session_t *session_new(member_t *member, int fd)
{
	session_t *session = g_new0(session_t, 1);

	session->member = member;
	session->fd = fd;
	session->state = 'I';
	session->writes = g_ptr_array_new_with_free_func(write_free);
	session->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						(GDestroyNotify)g_bytes_unref);
	session->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						  (GDestroyNotify)g_bytes_unref);
	session->in = g_string_new(NULL);
	return session;
}

static void session_drop_repeat(session_t *session)
{
	if (session->repeat)
		g_string_free(g_steal_pointer(&session->repeat), TRUE);
}

static void session_free(session_t *session)
{
	session_drop_repeat(session);
	g_string_free(session->in, TRUE);
	g_free(session->owner);
	g_ptr_array_unref(session->writes);
	g_hash_table_destroy(session->values);
	g_hash_table_destroy(session->prepared);
	g_free(session);
}

static void session_end_transaction(session_t *session)
{
	session->state = 'I';
	g_clear_pointer(&session->owner, g_free);
	g_ptr_array_set_size(session->writes, 0);
}

static bool put_error(session_t *session, GString *out, const char *code)
{
	if (session->state == 'T' && !g_str_equal(code, "LAGGING") && !g_str_equal(code, "BUSY"))
		session->state = 'E';
	g_string_append_printf(out, "ERR %s %s\r\n", code, session->member->id);
	return false;
}

/* Return: name of the session to which an id belongs; new */
static char *id_owner(const char *id)
{
	const char *end = strrchr(id, '-');

	return end ? g_strndup(id, end - id) : g_strdup(id);
}

/* Return: the first word of @bytes as a new string; NULL if @bytes is NULL */
static char *first_word(GBytes *bytes)
{
	slice_t words[2];

	if (!bytes)
		return NULL;
	slice_split(bytes_slice(bytes), words, 2);
	return slice_to_name(words[0]);
}

static void check_owner(const session_t *session, const statement_t *statement)
{
	members_t *members = session->member->members;
	const char *id = statement->id;
	char *who = first_word(g_hash_table_lookup(session->values, "who"));
	char *owner = id_owner(id);

	if (id[0] == 'c' && g_strcmp0(who, owner) != 0)
		add_violation(members, "PINNED: %s ran with the values of %s", id,
			      who ? who : "nobody");
	if (session->owner && !g_str_equal(session->owner, owner))
		add_violation(members, "PINNED: %s ran in a transaction of %s", id, session->owner);
	if (statement->shape) {
		char *shape = slice_to_name(bytes_slice(statement->shape));

		if (!g_str_has_suffix(shape, owner))
			add_violation(members, "PINNED: %s ran the shape %s", id, shape);
		g_free(shape);
	}
	g_free(owner);
	g_free(who);
}

static void check_draining(const session_t *session, const char *id)
{
	const member_t *member = session->member;
	int64_t late_us;

	if (!member->draining_since_us || session->state != 'I')
		return;
	late_us = g_get_monotonic_time() - member->draining_since_us - member->drain_us;
	if (late_us > 0)
		json_array_append_new(member->members->late_statements,
				      json_pack("[s, s, I, I]", id, member->id,
						(json_int_t)(g_get_monotonic_time() - late_us),
						(json_int_t)(late_us / 1000)));
}

static void put_done(session_t *session, GString *out, const statement_t *statement, GBytes *row)
{
	members_t *members = session->member->members;
	slice_t row_slice = bytes_slice(row);
	char signature[40];

	g_snprintf(signature, sizeof(signature), "%s.%" G_GUINT64_FORMAT, session->member->id,
		   ++members->signatures);
	if (row) {
		g_string_append(out, "ROW ");
		g_string_append_len(out, row_slice.bytes, (gssize)row_slice.length);
		g_string_append(out, "\r\n");
	}
	g_string_append_printf(out, "DONE %s\r\n", signature);
	json_array_append_new(
		members->statements,
		json_pack("[s, s, s, o, o, o, o]", statement->id, session->member->id, signature,
			  slice_to_json(row_slice), slice_to_json(statement->text),
			  slice_to_json(bytes_slice(g_hash_table_lookup(session->values, "who"))),
			  slice_to_json(bytes_slice(statement->shape))));
}

/* ---- Statements ---- */

/* Return: borrowed; NULL if the item was never written */
static GBytes *find_data(const member_t *member, const char *item)
{
	unsigned i;
	unsigned j;

	for (i = member_visible(member); i-- > 0;) {
		const commit_t *commit = member->log->pdata[i];

		for (j = commit->writes->len; j-- > 0;) {
			const write_t *write = commit->writes->pdata[j];

			if (g_str_equal(write->item, item))
				return write->data;
		}
	}
	return NULL;
}

/* Takes the writes of the session's transaction. */
static unsigned count_copies(const member_t *primary, const commit_t *commit)
{
	const members_t *members = primary->members;
	unsigned copies = 0;
	unsigned i;

	for (i = 0; i < members->all->len; i++) {
		const member_t *member = g_ptr_array_index(members->all, i);

		copies += member != primary && g_str_equal(member->service, primary->service) &&
			  member->log->len >= commit->index &&
			  member->log->pdata[commit->index - 1] == commit;
	}
	return copies;
}

/* Return: whether enough replicas have received the commit; false if the member has ended before */
static bool wait_for_copies(const member_t *member, const commit_t *commit)
{
	members_t *members = member->members;

	while (count_copies(member, commit) < members->sync_replicas) {
		if (!member->is_up || !member->is_primary || members->is_stopping)
			return false;
		g_mutex_unlock(&members->store->mutex);
		g_usleep(COPY_POLL_US);
		g_mutex_lock(&members->store->mutex);
		service_replicate(members, member->service);
	}
	return true;
}

/* Return: whether the commit may be acknowledged; the connection ends if not */
static bool commit_writes(session_t *session)
{
	member_t *member = session->member;
	members_t *members = member->members;
	commit_t *commit = g_rc_box_new0(commit_t);

	commit->service = member->service;
	commit->term = member->term;
	commit->index = member->log->len + 1;
	commit->committed_us = g_get_monotonic_time();
	commit->writes = session->writes;
	commit->is_late = service_primary(members, member->service) != member;
	commit->absences = g_array_new(FALSE, FALSE, sizeof(absence_t));
	if (commit->is_late)
		commit_set_absent(commit, true);
	session->writes = g_ptr_array_new_with_free_func(write_free);
	g_ptr_array_add(member->log, commit);
	g_ptr_array_add(members->commits, g_rc_box_acquire(commit));
	session->is_unanswered = !wait_for_copies(member, commit);
	return !session->is_unanswered;
}

static bool lacks_position(const member_t *member, const char *position)
{
	unsigned visible = member_visible(member);
	const commit_t *last = visible > 0 ? member->log->pdata[visible - 1] : NULL;
	char *end = NULL;
	uint64_t term = g_ascii_strtoull(position, &end, 10);
	uint64_t index = *end == '.' ? g_ascii_strtoull(end + 1, NULL, 10) : 0;
	uint64_t last_term = last ? last->term : 1;

	return last_term != term ? last_term < term : visible < index;
}

static bool run_read(session_t *session, GString *out, const statement_t *statement,
		     slice_t item_slice)
{
	char *item = slice_to_name(item_slice);
	GBytes *data = NULL;
	bool result = true;
	unsigned i;

	check_owner(session, statement);
	check_draining(session, statement->id);
	for (i = session->writes->len; i-- > 0 && !data;) {
		const write_t *write = session->writes->pdata[i];

		if (g_str_equal(write->item, item))
			data = write->data;
	}
	if (!data)
		data = find_data(session->member, item);
	data = data ? g_bytes_ref(data) : g_bytes_new_static("none", strlen("none"));
	if (session->state == 'T' && !session->is_read_only && !session->member->is_primary)
		result = put_error(session, out, "READONLY");
	else
		put_done(session, out, statement, data);
	g_bytes_unref(data);
	g_free(item);
	return result;
}

static bool run_write(session_t *session, GString *out, const statement_t *statement, slice_t item,
		      slice_t data)
{
	write_t *write;

	check_owner(session, statement);
	check_draining(session, statement->id);
	if (!session->member->is_primary || (session->state == 'T' && session->is_read_only))
		return put_error(session, out, "READONLY");
	write = g_new0(write_t, 1);
	write->id = g_strdup(statement->id);
	write->item = slice_to_name(item);
	write->data = slice_to_bytes(data);
	g_ptr_array_add(session->writes, write);
	if (session->state == 'I' && !commit_writes(session))
		return false;
	put_done(session, out, statement, NULL);
	return true;
}

static bool run_begin(session_t *session, GString *out, const char *id, bool is_read_only)
{
	check_draining(session, id);
	if (session->state != 'I')
		return put_error(session, out, "BADMSG");
	if (!is_read_only && !session->member->is_primary)
		return put_error(session, out, "READONLY");
	session->state = 'T';
	session->is_read_only = is_read_only;
	g_string_append(out, "DONE -\r\n");
	return true;
}

static bool run_commit(session_t *session, GString *out, const statement_t *statement)
{
	check_owner(session, statement);
	if (session->state != 'T')
		return put_error(session, out, "BADMSG");
	if (session->writes->len > 0 && !session->member->is_primary)
		return put_error(session, out, "READONLY");
	if (session->writes->len > 0 && !commit_writes(session))
		return false;
	session_end_transaction(session);
	put_done(session, out, statement, NULL);
	return true;
}

static bool run_rollback(session_t *session, GString *out)
{
	session_end_transaction(session);
	g_string_append(out, "DONE -\r\n");
	return true;
}

static bool run_status(session_t *session, GString *out)
{
	const member_t *member = session->member;

	g_string_append_printf(out, "ROW %s %" G_GUINT64_FORMAT " ",
			       member->is_primary ? "primary" : "replica", member->term);
	put_position(member, member->log->len, out);
	g_string_append_printf(out, " 0 10 %u %u\r\nDONE -\r\n", member->busy, member->fds->len);
	return true;
}

static bool run_step_down(session_t *session, GString *out, slice_t term_slice)
{
	member_t *member = session->member;
	char *term = slice_to_name(term_slice);

	if (member->is_primary && member->term < g_ascii_strtoull(term, NULL, 10))
		member_become_replica(member);
	g_free(term);
	return run_status(session, out);
}

static void run_dealloc(session_t *session, slice_t name_slice)
{
	char *name = slice_to_name(name_slice);

	g_hash_table_remove(session->prepared, name);
	g_free(name);
}

static void run_reset(session_t *session)
{
	g_hash_table_remove_all(session->values);
	g_hash_table_remove_all(session->prepared);
}

/* @rest: the item, and the data if there are any */
static bool run_prepared(session_t *session, GString *out, statement_t *statement,
			 slice_t name_slice, slice_t rest)
{
	char *name = slice_to_name(name_slice);
	GBytes *shape = g_hash_table_lookup(session->prepared, name);
	slice_t words[2];
	slice_t shape_words[2];
	bool result;

	g_free(name);
	if (!shape)
		return put_error(session, out, "NOSTMT");
	slice_split(rest, words, 2);
	slice_split(bytes_slice(shape), shape_words, 2);
	statement->shape = shape;
	if (slice_is(shape_words[0], "READ"))
		result = run_read(session, out, statement, words[0]);
	else
		result = run_write(session, out, statement, words[0], words[1]);
	return result;
}

static bool run_unknown(session_t *session, GString *out, const statement_t *statement)
{
	char *text = slice_to_name(statement->text);

	add_violation(session->member->members, "UNASKED: %s got %s, which is no statement: %.80s",
		      session->member->id, statement->id, text);
	g_free(text);
	return put_error(session, out, "BADMSG");
}

/* Runs a statement without its prefix. Return: false if it failed */
static bool run_words(session_t *session, GString *out, statement_t *statement)
{
	const slice_t *words = statement->words;
	slice_t text = statement->text;
	unsigned count = statement->count;
	bool result = true;

	if (session->state == 'E' && !slice_is(words[0], "ROLLBACK"))
		result = put_error(session, out, "BADMSG");
	else if (slice_is(text, "BEGIN") || slice_is(text, "BEGIN READ"))
		result = run_begin(session, out, statement->id, count > 1);
	else if (slice_is(text, "COMMIT"))
		result = run_commit(session, out, statement);
	else if (slice_is(text, "ROLLBACK"))
		result = run_rollback(session, out);
	else if (slice_is(text, "STATUS"))
		result = run_status(session, out);
	else if (slice_is(words[0], "STEPDOWN") && count == 2)
		result = run_step_down(session, out, words[1]);
	else if (slice_is(words[0], "READ") && count == 2)
		result = run_read(session, out, statement, words[1]);
	else if (slice_is(words[0], "WRITE") && count == 3)
		result = run_write(session, out, statement, words[1], words[2]);
	else if (slice_is(words[0], "EXEC") && count == 3)
		result = run_prepared(session, out, statement, words[1], words[2]);
	else if (slice_is(words[0], "SET") && count == 3)
		g_hash_table_replace(session->values, slice_to_name(words[1]),
				     slice_to_bytes(words[2]));
	else if (slice_is(words[0], "PREPARE") && count == 3)
		g_hash_table_replace(session->prepared, slice_to_name(words[1]),
				     slice_to_bytes(words[2]));
	else if (slice_is(words[0], "DEALLOC") && count == 2)
		run_dealloc(session, words[1]);
	else if (slice_is(text, "RESET"))
		run_reset(session);
	else
		result = run_unknown(session, out, statement);
	if (out->len == 0)
		g_string_append(out, "DONE -\r\n");
	return result;
}

static void run_statement(session_t *session, GString *out, statement_t *statement)
{
	const char *id = statement->id;
	char *position = NULL;
	bool begins = session->state == 'I';
	slice_t prefixed[3];

	if (slice_split(statement->text, prefixed, 3) > 1 && slice_is(prefixed[0], "AFTER")) {
		position = slice_to_name(prefixed[1]);
		statement->text = prefixed[2];
	}
	statement->count = slice_split(statement->text, statement->words, 3);
	service_replicate(session->member->members, session->member->service);
	if (position && lacks_position(session->member, position))
		put_error(session, out, "LAGGING");
	else
		run_words(session, out, statement);
	if (begins && session->state == 'T' && !g_str_equal(id, "-"))
		session->owner = id_owner(id);
	else if (session->state == 'T' && !session->owner && !g_str_equal(id, "-"))
		session->owner = id_owner(id);
	g_free(position);
}

/* ---- Connections ---- */

static bool send_all(int fd, const GString *out)
{
	size_t sent = 0;

	while (sent < out->len) {
		ssize_t count = send(fd, out->str + sent, out->len - sent, MSG_NOSIGNAL);

		if (count <= 0)
			return false;
		sent += (size_t)count;
	}
	return true;
}

/* ---- Second answers ---- */

static bool draw(unsigned percent)
{
	return percent > 0 && g_random_int_range(0, 100) < (int)percent;
}

static void repeat_set_due(session_t *session)
{
	session->repeat_due_us = g_get_monotonic_time() + g_random_int_range(0, REPEAT_MAX_US);
}

/* Moves what is left of the second answer to @out. */
static void take_repeat(session_t *session, GString *out)
{
	if (!session->repeat)
		return;
	if (session->lacks_ready)
		put_ready(session->member, session->repeat_state, session->repeat);
	g_string_append_len(out, session->repeat->str, (gssize)session->repeat->len);
	session_drop_repeat(session);
}

/* Moves the due part of the second answer to @out. */
static void take_due_repeat(session_t *session, GString *out)
{
	GString *rest;
	gsize part_length;

	take_repeat(session, out);
	if (session->repeat_moment != REPEAT_IN_PARTS)
		return;
	part_length = (gsize)g_random_int_range(1, (int)out->len);
	rest = g_string_new_len(out->str + part_length, (gssize)(out->len - part_length));
	g_string_truncate(out, part_length);
	session->repeat = rest;
	session->lacks_ready = false;
	session->repeat_moment = REPEAT_IDLE;
	repeat_set_due(session);
}

/* Adds the answer @body and its READY to @out, and sees to a second one if it is drawn. */
static void put_answer(session_t *session, const GString *body, GString *out)
{
	const member_t *member = session->member;
	GString *answer = g_string_new_len(body->str, (gssize)body->len);

	put_ready(member, session->state, answer);
	g_string_append_len(out, answer->str, (gssize)answer->len);
	if (draw(member->repeat_percent)) {
		session->repeat_moment =
			g_array_index(member->repeat_moments, repeat_moment_t,
				      g_random_int_range(0, (int)member->repeat_moments->len));
		session->lacks_ready = g_random_boolean();
		session->repeat_state = session->state;
		session->repeat = g_string_new_len(
			answer->str, (gssize)(session->lacks_ready ? body->len : answer->len));
		repeat_set_due(session);
		if (session->repeat_moment == REPEAT_IN_SEGMENT)
			take_repeat(session, out);
	}
	g_string_free(answer, TRUE);
}

/* Return: whether the connection may go on */
static bool handle_start(session_t *session, slice_t line, GString *out)
{
	const member_t *member = session->member;
	slice_t words[4];
	unsigned count = slice_split(line, words, 4);
	GString *empty;

	if (count < 3 || !slice_is(words[0], "START") || !slice_is(words[1], member->service) ||
	    (count > 3 && !slice_is(words[3], member->id))) {
		g_string_append_printf(out, "ERR MISROUTED %s\r\n", member->id);
		return false;
	}
	session->is_of_leader = slice_is(words[2], LEADER_NAME);
	if (member->is_deaf && session->is_of_leader)
		return false;
	if (member->fds->len > CONNECTIONS_MAX) {
		g_string_append_printf(out, "ERR MAXCONN %s\r\n", member->id);
		return false;
	}
	empty = g_string_new(NULL);
	put_answer(session, empty, out);
	g_string_free(empty, TRUE);
	return true;
}

/* Counts a line of a team, and notes a second with too many while the member is cold. */
static void check_cold(const session_t *session, const char *id)
{
	member_t *member = session->member;
	int64_t now_us = g_get_monotonic_time();
	unsigned count = 0;
	unsigned i;

	if (now_us >= member->cold_until_us || session->is_of_leader)
		return;
	g_array_append_val(member->cold_lines, now_us);
	for (i = 0; i < member->cold_lines->len; i++)
		count += now_us - g_array_index(member->cold_lines, int64_t, i) < G_USEC_PER_SEC;
	if (count > member->cold_limit)
		add_violation(member->members, "COLD: %s got %s as line %u of a second, limit %u",
			      member->id, id, count, member->cold_limit);
}

/*
 * Takes a slot and works in it, without the mutex; sends @early meanwhile, and empties it. Return:
 * false if there are too many waiting
 */
static bool member_work(const session_t *session, GString *early)
{
	member_t *member = session->member;
	members_t *members = member->members;
	int work_us = g_random_int_range(WORK_MIN_US, WORK_MAX_US);
	int before_us = g_random_boolean() ? g_random_int_range(0, work_us) : 0;

	if (member->busy >= SLOTS && member->waiting >= WAITING_MAX)
		return false;
	member->waiting++;
	while (member->busy >= SLOTS && !members->is_stopping)
		g_cond_wait(&members->changed, &members->store->mutex);
	member->waiting--;
	member->busy++;
	g_mutex_unlock(&members->store->mutex);
	g_usleep((gulong)before_us);
	send_all(session->fd, early);
	g_string_truncate(early, 0);
	g_usleep((gulong)(work_us - before_us));
	g_mutex_lock(&members->store->mutex);
	member->busy--;
	g_cond_broadcast(&members->changed);
	return true;
}

/* @before: gets what is to be sent before the answer. Return: whether the connection may go on */
static bool run_query(session_t *session, statement_t *statement, GString *before, GString *body)
{
	const member_t *member = session->member;

	check_cold(session, statement->id);
	if (g_random_boolean())
		take_repeat(session, before);
	if (!member_work(session, before) || draw(member->busy_percent))
		put_error(session, body, "BUSY");
	else if (!member->is_up)
		return false;
	else
		run_statement(session, body, statement);
	take_repeat(session, before);
	return !session->is_unanswered;
}

/* Return: whether the connection may go on */
static bool handle_query(session_t *session, slice_t line, GString *out)
{
	GString *body = g_string_new(NULL);
	slice_t words[3];
	unsigned count = slice_split(line, words, 3);
	statement_t statement = { .id = slice_to_name(words[1]), .text = words[2] };
	bool goes_on = count == 3 && slice_is(words[0], "QUERY");

	if (!goes_on && !slice_is(line, "QUIT"))
		add_violation(session->member->members, "UNASKED: %s got a message that is none",
			      session->member->id);
	goes_on = goes_on && run_query(session, &statement, out, body);
	if (goes_on)
		put_answer(session, body, out);
	g_free(statement.id);
	g_string_free(body, TRUE);
	return goes_on;
}

static bool handle_line(session_t *session, slice_t line, bool is_first)
{
	GString *out = g_string_new(NULL);
	gulong late_us;
	bool goes_on;

	g_mutex_lock(&session->member->members->store->mutex);
	goes_on = session->member->is_up &&
		  (is_first ? handle_start(session, line, out) : handle_query(session, line, out));
	late_us = (gulong)session->member->late_ms * 1000;
	g_mutex_unlock(&session->member->members->store->mutex);
	g_usleep(late_us);
	goes_on = send_all(session->fd, out) && goes_on;
	g_string_free(out, TRUE);
	return goes_on;
}

static bool send_due_repeat(session_t *session)
{
	GString *out = g_string_new(NULL);
	bool is_sent;

	g_mutex_lock(&session->member->members->store->mutex);
	take_due_repeat(session, out);
	g_mutex_unlock(&session->member->members->store->mutex);
	is_sent = send_all(session->fd, out);
	g_string_free(out, TRUE);
	return is_sent;
}

/* Waits for further bytes. Return: false if the connection has ended */
static bool receive(session_t *session)
{
	struct pollfd descriptor = { .fd = session->fd, .events = POLLIN };
	bool has_due = session->repeat && session->repeat_moment != REPEAT_NEXT;
	int64_t left_us = MAX(session->repeat_due_us - g_get_monotonic_time(), 0);
	char buffer[16384];
	ssize_t length;

	if (poll(&descriptor, 1, has_due ? (int)(left_us / 1000) : -1) == 0)
		return send_due_repeat(session);
	length = recv(session->fd, buffer, sizeof(buffer), 0);
	if (length > 0)
		g_string_append_len(session->in, buffer, length);
	return length > 0;
}

/* Return: the next line, new; NULL if the connection has ended */
static char *receive_line(session_t *session, size_t *length)
{
	char *line = jh_line_take(session->in, length);

	while (!line && !jh_line_is_too_long(session->in) && receive(session))
		line = jh_line_take(session->in, length);
	return line;
}

static void thread_end(members_t *members)
{
	members->threads--;
	g_cond_broadcast(&members->changed);
}

static void fds_remove(GArray *fds, int fd)
{
	unsigned i;

	for (i = 0; i < fds->len; i++) {
		if (g_array_index(fds, int, i) == fd) {
			g_array_remove_index_fast(fds, i);
			return;
		}
	}
}

static void *run_connection(void *data)
{
	session_t *session = data;
	member_t *member = session->member;
	store_t *store = member->members->store;
	bool is_first = true;
	bool goes_on = true;

	while (goes_on) {
		size_t length = 0;
		char *line = receive_line(session, &length);
		slice_t slice = { .bytes = line, .length = length };

		goes_on = line && handle_line(session, slice, is_first);
		is_first = false;
		g_free(line);
	}
	g_mutex_lock(&store->mutex);
	fds_remove(member->fds, session->fd);
	close(session->fd);
	session_free(session);
	thread_end(member->members);
	g_mutex_unlock(&store->mutex);
	return NULL;
}

static void thread_start(members_t *members, GThreadFunc run, void *data)
{
	members->threads++;
	g_thread_unref(g_thread_new("member", run, data));
}

static void *run_listener(void *data)
{
	member_t *member = data;
	store_t *store = member->members->store;
	int listen_fd = member->listen_fd;
	int one = 1;

	while (true) {
		int fd = accept(listen_fd, NULL, NULL);

		if (fd < 0 && errno == EINTR)
			continue;
		g_mutex_lock(&store->mutex);
		if (fd < 0 || !member->is_up || member->listen_fd != listen_fd) {
			if (fd >= 0)
				close(fd);
			break;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		g_array_append_val(member->fds, fd);
		thread_start(member->members, run_connection, session_new(member, fd));
		g_mutex_unlock(&store->mutex);
	}
	close(listen_fd);
	thread_end(member->members);
	g_mutex_unlock(&store->mutex);
	return NULL;
}

/* Return: false if the member can't listen */
static bool member_listen(member_t *member)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				       .sin_port = htons((uint16_t)member->port) };
	socklen_t length = sizeof(address);
	int one = 1;

	member->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(member->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(member->listen_fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
	    listen(member->listen_fd, 128) < 0 ||
	    getsockname(member->listen_fd, (struct sockaddr *)&address, &length) < 0) {
		close(member->listen_fd);
		return false;
	}
	member->port = ntohs(address.sin_port);
	member->is_up = true;
	thread_start(member->members, run_listener, member);
	return true;
}

static void member_stop(member_t *member)
{
	unsigned i;

	if (!member->is_up)
		return;
	member->is_up = false;
	shutdown(member->listen_fd, SHUT_RDWR);
	for (i = 0; i < member->fds->len; i++)
		shutdown(g_array_index(member->fds, int, i), SHUT_RDWR);
}

/* ---- Later steps ---- */

typedef struct step {
	member_t *member;
	int64_t at_us;
	void (*run)(member_t *member);
} step_t;

static void *run_step(void *data)
{
	step_t *step = data;
	members_t *members = step->member->members;

	g_mutex_lock(&members->store->mutex);
	while (!members->is_stopping && g_get_monotonic_time() < step->at_us)
		g_cond_wait_until(&members->changed, &members->store->mutex, step->at_us);
	if (!members->is_stopping)
		step->run(step->member);
	thread_end(members);
	g_mutex_unlock(&members->store->mutex);
	g_free(step);
	return NULL;
}

static void run_later(member_t *member, unsigned delay_ms, void (*run)(member_t *member))
{
	step_t *step = g_new0(step_t, 1);

	step->member = member;
	step->at_us = g_get_monotonic_time() + (int64_t)delay_ms * 1000;
	step->run = run;
	thread_start(member->members, run_step, step);
}

/* Notes which commits of its service the new primary does not have. */
static void note_absences(const member_t *primary)
{
	GPtrArray *commits = primary->members->commits;
	GHashTable *present = g_hash_table_new(NULL, NULL);
	unsigned i;

	for (i = 0; i < primary->log->len; i++)
		g_hash_table_add(present, primary->log->pdata[i]);
	for (i = 0; i < commits->len; i++) {
		commit_t *commit = commits->pdata[i];

		if (g_str_equal(commit->service, primary->service))
			commit_set_absent(commit, !g_hash_table_contains(present, commit));
	}
	g_hash_table_destroy(present);
}

static void member_promoted(member_t *member)
{
	if (!member->is_up)
		return;
	service_replicate(member->members, member->service);
	member->term = service_term(member->members, member->service) + 1;
	member->is_primary = true;
	member->was_primary = true;
	note_absences(member);
	member_register(member);
}

static void member_lapse(member_t *member)
{
	if (!member->is_up)
		store_write(member->members->store, "servers", member->id, NULL);
}

static void member_left(member_t *member)
{
	member_stop(member);
	member->has_left = true;
	store_write(member->members->store, "servers", member->id, NULL);
}

/* ---- Requests of tests ---- */

unsigned members_add(members_t *members, const char *service, const char *id, const char *zone,
		     bool is_primary)
{
	const member_t *source = service_source(members, service);
	member_t *member = g_new0(member_t, 1);
	unsigned i;

	member->members = members;
	member->id = g_strdup(id);
	member->service = g_strdup(service);
	member->zone = g_strdup(*zone ? zone : "dc-1");
	member->born_ms = g_get_real_time() / 1000;
	member->term = MAX(service_term(members, service), 1);
	member->is_primary = is_primary;
	member->was_primary = is_primary;
	member->log = g_ptr_array_new_with_free_func(commit_unref);
	member->fds = g_array_new(FALSE, FALSE, sizeof(int));
	member->cold_lines = g_array_new(FALSE, FALSE, sizeof(int64_t));
	member->repeat_moments = g_array_new(FALSE, FALSE, sizeof(repeat_moment_t));
	g_ptr_array_add(members->all, member);
	for (i = 0; source && i < source->log->len; i++)
		g_ptr_array_add(member->log, g_rc_box_acquire(source->log->pdata[i]));
	if (!member_listen(member))
		return 0;
	member_register(member);
	return member->port;
}

bool members_crash(members_t *members, const char *id)
{
	member_t *member = member_find(members, id);

	if (!member || !member->is_up)
		return false;
	member_stop(member);
	run_later(member, LAPSE_MS, member_lapse);
	return true;
}

bool members_return(members_t *members, const char *id)
{
	member_t *member = member_find(members, id);

	if (!member || member->is_up || member->has_left)
		return false;
	if (service_term(members, member->service) > member->term) {
		member->is_primary = false;
		member->applied = member->log->len;
	}
	if (!member_listen(member))
		return false;
	if (member->cold_ms > 0) {
		member->born_ms = g_get_real_time() / 1000;
		member->cold_until_us = g_get_monotonic_time() + (int64_t)member->cold_ms * 1000;
	}
	member_register(member);
	return true;
}

bool members_set_cold(members_t *members, const char *id, unsigned cold_ms, unsigned limit)
{
	member_t *member = member_find(members, id);

	if (!member)
		return false;
	member->cold_ms = cold_ms;
	member->cold_limit = limit;
	return true;
}

bool members_leave(members_t *members, const char *id, unsigned drain_ms)
{
	member_t *member = member_find(members, id);

	if (!member || !member->is_up || member->draining_since_us)
		return false;
	member->draining_since_us = g_get_monotonic_time();
	member->drain_us = (int64_t)drain_ms * 1000;
	member_register(member);
	run_later(member, drain_ms + LEAVE_EXTRA_MS, member_left);
	return true;
}

bool members_set_cut(members_t *members, const char *id, bool is_cut)
{
	member_t *member = member_find(members, id);

	if (!member)
		return false;
	service_replicate(members, member->service);
	member->is_cut = is_cut;
	return true;
}

void members_register_again(members_t *members)
{
	unsigned i;

	for (i = 0; i < members->all->len; i++) {
		member_t *member = g_ptr_array_index(members->all, i);

		if (member->is_up)
			member_register(member);
	}
}

void members_set_sync(members_t *members, unsigned sync_replicas)
{
	members->sync_replicas = sync_replicas;
}

bool members_set_deaf(members_t *members, const char *id, bool is_deaf)
{
	member_t *member = member_find(members, id);

	if (!member)
		return false;
	member->is_deaf = is_deaf;
	return true;
}

bool members_set_late(members_t *members, const char *id, unsigned late_ms)
{
	member_t *member = member_find(members, id);

	if (!member)
		return false;
	member->late_ms = late_ms;
	return true;
}

bool members_set_repeats(members_t *members, const char *id, unsigned percent, const char *moments,
			 unsigned busy_percent)
{
	member_t *member = member_find(members, id);
	char **names = g_strsplit(moments, ",", 0);
	repeat_moment_t moment;

	if (member) {
		g_array_set_size(member->repeat_moments, 0);
		for (moment = 0; moment < REPEAT_MOMENTS; moment++) {
			if (g_strv_contains((const char *const *)names,
					    repeat_moment_names[moment]))
				g_array_append_val(member->repeat_moments, moment);
		}
		member->repeat_percent = member->repeat_moments->len > 0 ? percent : 0;
		member->busy_percent = busy_percent;
	}
	g_strfreev(names);
	return member != NULL;
}

const char *members_find_primary(const members_t *members, const char *service)
{
	const member_t *primary = service_primary(members, service);

	return primary ? primary->id : NULL;
}

bool members_promote(members_t *members, const char *id, const char *holder, uint64_t fence)
{
	member_t *member = member_find(members, id);

	if (fence < members->fence)
		add_violation(members,
			      "ONE: %s promotes with fence %" G_GUINT64_FORMAT
			      " after %" G_GUINT64_FORMAT,
			      holder, fence, members->fence);
	if (fence == members->fence && g_strcmp0(members->fence_holder, holder) != 0)
		add_violation(members, "ONE: %s and %s promote with the same fence", holder,
			      members->fence_holder);
	members->fence = MAX(members->fence, fence);
	g_free(members->fence_holder);
	members->fence_holder = g_strdup(holder);
	if (!member || !member->is_up)
		return false;
	if (service_primary(members, member->service) != member)
		run_later(member, PROMOTION_MS, member_promoted);
	return true;
}

static json_t *commit_to_json(const commit_t *commit, bool is_final)
{
	json_t *ids = json_array();
	json_t *absences = json_array();
	unsigned i;

	for (i = 0; i < commit->writes->len; i++)
		json_array_append_new(ids, json_string(((write_t *)commit->writes->pdata[i])->id));
	for (i = 0; i < commit->absences->len; i++) {
		const absence_t *absence = &g_array_index(commit->absences, absence_t, i);

		json_array_append_new(absences, json_pack("[I, I]", (json_int_t)absence->from_us,
							  (json_int_t)absence->to_us));
	}
	return json_pack("{s:o, s:I, s:I, s:b, s:b, s:o}", "ids", ids, "term",
			 (json_int_t)commit->term, "index", (json_int_t)commit->index, "final",
			 is_final, "late", commit->is_late, "absences", absences);
}

char *members_report(const members_t *members)
{
	json_t *commits = json_array();
	json_t *report = json_object();
	GHashTable *final = g_hash_table_new(NULL, NULL);
	char *text;
	unsigned i;
	unsigned j;

	for (i = 0; i < members->all->len; i++) {
		const member_t *member = g_ptr_array_index(members->all, i);

		if (member != service_primary(members, member->service))
			continue;
		for (j = 0; j < member->log->len; j++)
			g_hash_table_add(final, member->log->pdata[j]);
	}
	for (i = 0; i < members->commits->len; i++) {
		commit_t *commit = members->commits->pdata[i];

		json_array_append_new(commits,
				      commit_to_json(commit, g_hash_table_contains(final, commit)));
	}
	json_object_set_new(report, "commits", commits);
	json_object_set(report, "statements", members->statements);
	json_object_set(report, "late_statements", members->late_statements);
	json_object_set(report, "violations", members->violations);
	text = json_dumps(report, JSON_COMPACT);
	json_decref(report);
	g_hash_table_destroy(final);
	return text;
}

/* ---- Start and end ---- */

members_t *members_new(store_t *store)
{
	members_t *members = g_new0(members_t, 1);

	members->store = store;
	members->all = g_ptr_array_new();
	members->commits = g_ptr_array_new_with_free_func(commit_unref);
	members->statements = json_array();
	members->violations = json_array();
	members->late_statements = json_array();
	g_cond_init(&members->changed);
	return members;
}

static void member_free(member_t *member)
{
	g_free(member->id);
	g_free(member->service);
	g_free(member->zone);
	g_ptr_array_unref(member->log);
	g_array_unref(member->fds);
	g_array_unref(member->cold_lines);
	g_array_unref(member->repeat_moments);
	g_free(member);
}

void members_free(members_t *members)
{
	unsigned i;

	g_mutex_lock(&members->store->mutex);
	members->is_stopping = true;
	for (i = 0; i < members->all->len; i++)
		member_stop(g_ptr_array_index(members->all, i));
	g_cond_broadcast(&members->changed);
	while (members->threads > 0)
		g_cond_wait(&members->changed, &members->store->mutex);
	g_mutex_unlock(&members->store->mutex);
	for (i = 0; i < members->all->len; i++)
		member_free(g_ptr_array_index(members->all, i));
	g_ptr_array_free(members->all, TRUE);
	g_ptr_array_free(members->commits, TRUE);
	json_decref(members->statements);
	json_decref(members->violations);
	json_decref(members->late_statements);
	g_free(members->fence_holder);
	g_cond_clear(&members->changed);
	g_free(members);
}
