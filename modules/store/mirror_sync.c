#include "internal/mirror.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_primary.h"

#include <string.h>

/*
 * Comparison with the mirrors of other VMs. A request says up to which version each table has been
 * applied here; the reply says the same of the other VM, and may acknowledge that the other VM knew
 * no newer row. Missing rows are requested of one VM at a time, so that each change arrives once
 * and not from every voter. An acknowledgement of versions that are missing here counts only after
 * their rows have arrived.
 */

/* If less of the lease than this is left at the start of a round, the round before it did not renew
 * the lease, and requests go to all voters.
 */
#define LEASE_LOW_US (JH_LEASE_US * 55 / 100)

/* Voters to which a VM that is no voter sends requests in a round: one voter that shares its lease
 * is enough, and one reply may be lost. Voters in the same data centre are preferred.
 */
#define NON_VOTER_REQUESTS 2u

/* Longest time for which another VM may say that it has known a version, microseconds. */
#define CONFIG_KNOWN_MAX_US (60 * INT64_C(1000000))

/* A fetch that took longer than this is logged, microseconds. */
#define FETCH_LOG_US (500 * INT64_C(1000))

JH_COUNTER(fetches_total, "jasminehill_mirror_fetches_total",
	   "requests for missing rows, sent to other VMs");
JH_COUNTER(
	fetches_repeated_total, "jasminehill_mirror_fetches_repeated_total",
	"requests for missing rows that were sent to a second VM because the first one's rows had "
	"not arrived");

/*
 * This VM acknowledges to others once it has held a lease in this instance. It does not acknowledge
 * while its mirror has a write of its own, such as a change of primary, but lacks earlier changes:
 * the versions that it sends do not include that write yet.
 */
static bool can_acknowledge(const _jh_mirror_t *mirror)
{
	return mirror->lease_expiry_us != INT64_MIN &&
	       mirror->tables[JH_MIRROR_FLEET].own_write_version == 0;
}

/* Return: time since the table was known to lack no change, 0 if it never was; at least 1 else */
static int64_t verified_age_us(const _jh_mirror_table_t *table)
{
	return table->verified_us == INT64_MIN ? 0 : MAX(jh_boot_time_us() - table->verified_us, 1);
}

bool _jh_mirror_note_acknowledged(_jh_mirror_t *mirror, const char *group, jh_position_t position)
{
	jh_position_t *known = g_hash_table_lookup(mirror->acknowledged, group);

	if (known && jh_position_compare(position, *known) <= 0)
		return false;
	g_hash_table_replace(mirror->acknowledged, (void *)g_intern_string(group),
			     g_memdup2(&position, sizeof(position)));
	return true;
}

static bool group_is_changing(const _jh_mirror_t *mirror, const char *group)
{
	char *name = g_strconcat(JH_MIRROR_GROUP_PREFIX, group, NULL);
	const _jh_mirror_row_t *row =
		g_hash_table_lookup(mirror->tables[JH_MIRROR_FLEET].rows, name);
	jh_error_t err = JH_ERROR_INIT;
	jh_primary_t primary;
	bool is_changing = row && row->body &&
			   jh_primary_parse(&primary, group, row->version, row->body, &err) == 0 &&
			   primary.is_changing;

	jh_error_clear(&err);
	g_free(name);
	return is_changing;
}

/* Adds how far commits are acknowledged, which a leader needs to know to replace a primary. */
static void add_acknowledged(const _jh_mirror_t *mirror, Jh__MirrorSync *sync)
{
	GHashTableIter iter;
	void *group;
	void *value;

	if (g_hash_table_size(mirror->acknowledged) == 0)
		return;
	sync->acknowledged = g_new0(Jh__Acknowledged *, g_hash_table_size(mirror->acknowledged));
	g_hash_table_iter_init(&iter, mirror->acknowledged);
	while (g_hash_table_iter_next(&iter, &group, &value)) {
		const jh_position_t *position = value;
		Jh__Acknowledged *entry;

		if (!group_is_changing(mirror, group))
			continue;
		entry = g_new0(Jh__Acknowledged, 1);
		jh__acknowledged__init(entry);
		entry->group = jh_frame_strdup(group);
		entry->term = position->term;
		entry->index = position->index;
		sync->acknowledged[sync->n_acknowledged++] = entry;
	}
}

/* Takes over what another VM knows of acknowledged commits. */
static void note_acknowledged_of(_jh_mirror_t *mirror, const Jh__MirrorSync *sync)
{
	size_t i;

	for (i = 0; i < sync->n_acknowledged; i++) {
		const Jh__Acknowledged *entry = sync->acknowledged[i];
		const jh_position_t position = { .term = entry->term, .index = entry->index };
		jh_acknowledged_msg_t *msg;

		if (!_jh_mirror_note_acknowledged(mirror, entry->group, position))
			continue;
		msg = g_rc_box_new0(jh_acknowledged_msg_t);
		msg->group = g_intern_string(entry->group);
		msg->position = position;
		jh_publish(mirror->task, JH_MSG_ACKNOWLEDGED, msg, NULL);
	}
}

static Jh__Frame *sync_frame(const _jh_mirror_t *mirror, int64_t stamp_us, bool is_reply,
			     bool with_rows)
{
	Jh__Frame *frame = jh_frame_new(JH__FRAME__BODY_MIRROR_SYNC);
	Jh__MirrorSync *sync = frame->mirror_sync;
	unsigned i;

	sync->stamp_us = stamp_us;
	sync->is_reply = is_reply;
	sync->with_rows = with_rows;
	sync->confirms = can_acknowledge(mirror);
	sync->config_row_version = mirror->tables[JH_MIRROR_CONFIG].newest_row_version;
	sync->config_known_us = jh_boot_time_us() - mirror->tables[JH_MIRROR_CONFIG].known_since_us;
	sync->n_versions = JH_MIRROR_TABLE_COUNT;
	sync->versions = g_new0(uint64_t, JH_MIRROR_TABLE_COUNT);
	sync->n_verified_age_us = JH_MIRROR_TABLE_COUNT;
	sync->verified_age_us = g_new0(int64_t, JH_MIRROR_TABLE_COUNT);
	for (i = 0; i < JH_MIRROR_TABLE_COUNT; i++) {
		sync->versions[i] = mirror->tables[i].is_complete ? mirror->tables[i].version : 0;
		sync->verified_age_us[i] = verified_age_us(&mirror->tables[i]);
	}
	_jh_mirror_add_kept_rows(mirror, sync);
	add_acknowledged(mirror, sync);
	return frame;
}

static void sync_reply(_jh_mirror_t *mirror, const char *vm, const Jh__MirrorSync *request)
{
	Jh__Frame *frame = sync_frame(mirror, request->stamp_us, true, request->with_rows);
	Jh__MirrorSync *reply = frame->mirror_sync;

	if (can_acknowledge(mirror))
		reply->lasts_us = MAX(mirror->lease_expiry_us - jh_boot_time_us(), 0);
	if (request->with_rows)
		reply->rows = _jh_mirror_rows_for(mirror, vm, request, &reply->n_rows);
	/* This VM's own write is not among the rows, nor is what it has replaced: with them alone,
	 * the other mirror has not reached the table's version.
	 */
	if (request->with_rows && mirror->tables[JH_MIRROR_FLEET].own_write_version > 0 &&
	    request->n_versions > JH_MIRROR_FLEET)
		reply->versions[JH_MIRROR_FLEET] =
			MIN(reply->versions[JH_MIRROR_FLEET], request->versions[JH_MIRROR_FLEET]);
	jh_frame_send(mirror->task, vm, frame);
}

static void sync_request(_jh_mirror_t *mirror, const char *vm)
{
	jh_frame_send(mirror->task, vm, sync_frame(mirror, jh_boot_time_us(), false, false));
}

void _jh_mirror_request_rows(_jh_mirror_t *mirror, const char *vm, const Jh__MirrorPart *part)
{
	Jh__Frame *frame = sync_frame(mirror, jh_boot_time_us(), false, true);
	Jh__MirrorSync *sync = frame->mirror_sync;

	sync->accepts_compressed = true;
	sync->accepts_parts = true;
	if (part) {
		sync->part = g_memdup2(part, sizeof(*part));
		sync->part->name = jh_frame_strdup(part->name);
	}
	mirror->fetch_sent_us = jh_boot_time_us();
	mirror->fetch_vm = g_intern_string(vm);
	jh_frame_send(mirror->task, vm, frame);
}

/* Requests the rows that this mirror lacks, unless such a request is in progress. */
static void sync_fetch(_jh_mirror_t *mirror, const char *vm)
{
	int64_t now_us = jh_boot_time_us();

	if (mirror->fetch_sent_us != INT64_MIN &&
	    now_us - mirror->fetch_sent_us < JH_FETCH_TIMEOUT_US) {
		mirror->next_fetch_vm = g_intern_string(vm);
		return;
	}
	jh_counter_add(&fetches_total, 1);
	if (mirror->fetch_sent_us != INT64_MIN) {
		jh_counter_add(&fetches_repeated_total, 1);
		jh_log(JH_LOG_NOTICE, "mirror", "fetch_repeated",
		       "vm=%s before=%s waited_ms=%" G_GINT64_FORMAT, jh_log_value(vm),
		       jh_log_value(mirror->fetch_vm), (now_us - mirror->fetch_sent_us) / 1000);
	}
	mirror->fetch_began_us = now_us;
	_jh_mirror_request_rows(mirror, vm, NULL);
}

static void fetch_end(_jh_mirror_t *mirror)
{
	int64_t took_us = jh_boot_time_us() - mirror->fetch_began_us;

	if (mirror->fetch_sent_us != INT64_MIN && took_us > FETCH_LOG_US)
		jh_log(JH_LOG_NOTICE, "mirror", "fetch_slow", "vm=%s took_ms=%" G_GINT64_FORMAT,
		       jh_log_value(mirror->fetch_vm), took_us / 1000);
	mirror->fetch_sent_us = INT64_MIN;
}

static void sync_request_some(_jh_mirror_t *mirror, const GPtrArray *vms, unsigned first,
			      unsigned count)
{
	unsigned i;

	for (i = 0; i < vms->len && count > 0; i++) {
		const char *vm = g_ptr_array_index(vms, (first + i) % vms->len);

		if (g_str_equal(vm, _jh_mirror_self(mirror)))
			continue;
		sync_request(mirror, vm);
		count--;
	}
}

void _jh_mirror_sync_voters(_jh_mirror_t *mirror)
{
	sync_request_some(mirror, mirror->voters, 0, mirror->voters->len);
}

void _jh_mirror_sync_fleet(_jh_mirror_t *mirror)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, mirror->tables[JH_MIRROR_FLEET].rows);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const char *vm;

		if (!g_str_has_prefix(name, JH_MIRROR_VM_PREFIX) ||
		    !((const _jh_mirror_row_t *)value)->body)
			continue;
		vm = (const char *)name + strlen(JH_MIRROR_VM_PREFIX);
		if (!g_str_equal(vm, _jh_mirror_self(mirror)))
			sync_request(mirror, vm);
	}
}

/* Sends the requests of a VM that is no voter, to near voters as far as there are enough. */
static void sync_request_shared_lease(_jh_mirror_t *mirror)
{
	unsigned near_count = MIN(mirror->near_voters->len, NON_VOTER_REQUESTS);
	unsigned other_count = NON_VOTER_REQUESTS - near_count;

	sync_request_some(mirror, mirror->near_voters, mirror->next_near_voter, near_count);
	mirror->next_near_voter += near_count;
	sync_request_some(mirror, mirror->voters, mirror->next_voter, other_count);
	mirror->next_voter = (mirror->next_voter + other_count) % mirror->voters->len;
}

void _jh_mirror_sync_round(_jh_mirror_t *mirror)
{
	/* A voter counts itself towards the quorum, so that one of these replies may be lost. */
	bool is_voter = _jh_mirror_is_voter(mirror);
	unsigned count = jh_quorum_size(mirror->voters->len);

	if (mirror->vm_count <= JH_VOTERS_MAX || mirror->voting->previous ||
	    mirror->lease_expiry_us < jh_boot_time_us() + LEASE_LOW_US) {
		_jh_mirror_sync_voters(mirror);
		return;
	}
	if (!is_voter) {
		sync_request_shared_lease(mirror);
		return;
	}
	sync_request_some(mirror, mirror->voters, mirror->next_voter, count);
	mirror->next_voter = (mirror->next_voter + count) % mirror->voters->len;
}

static bool has_newer_version(const _jh_mirror_t *mirror, const uint64_t *versions, size_t count)
{
	unsigned i;

	for (i = 0; i < JH_MIRROR_TABLE_COUNT && i < count; i++) {
		if (versions[i] > mirror->tables[i].version)
			return true;
	}
	return false;
}

void _jh_mirror_apply_acks(_jh_mirror_t *mirror)
{
	GHashTableIter iter;
	void *vm;
	void *value;
	unsigned i;

	_jh_mirror_update_era(mirror);
	g_hash_table_iter_init(&iter, mirror->acks);
	while (g_hash_table_iter_next(&iter, &vm, &value)) {
		const _jh_mirror_ack_t *ack = value;

		/* It may know rows that the store has lost, and does not know yet that it has. */
		if (jh_store_version_era(ack->versions[JH_MIRROR_FLEET]) < mirror->era) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (has_newer_version(mirror, ack->versions, JH_MIRROR_TABLE_COUNT))
			continue;
		jh_mirror_lease_on_vm_ack(mirror->lease, vm, ack->requested_us);
		if (ack->lease_left_us > 0)
			jh_mirror_lease_on_peer_lease(mirror->lease,
						      ack->requested_us + ack->lease_left_us);
		for (i = 0; i < JH_MIRROR_TABLE_COUNT; i++) {
			if (ack->verified_us[i] != 0)
				_jh_mirror_table_on_verified(&mirror->tables[i],
							     ack->verified_us[i]);
		}
		g_hash_table_iter_remove(&iter);
	}
	_jh_mirror_update_lease(mirror);
}

static void ack_store(_jh_mirror_t *mirror, const char *vm, const Jh__MirrorSync *sync)
{
	_jh_mirror_ack_t *ack = g_new0(_jh_mirror_ack_t, 1);
	unsigned i;

	ack->requested_us = sync->stamp_us;
	ack->lease_left_us = CLAMP(sync->lasts_us, 0, JH_LEASE_US);
	for (i = 0; i < JH_MIRROR_TABLE_COUNT && i < sync->n_versions; i++)
		ack->versions[i] = sync->versions[i];
	for (i = 0; i < JH_MIRROR_TABLE_COUNT && i < sync->n_verified_age_us; i++) {
		if (sync->verified_age_us[i] > 0)
			ack->verified_us[i] = sync->stamp_us - sync->verified_age_us[i];
	}
	g_hash_table_replace(mirror->acks, (void *)g_intern_string(vm), ack);
}

void _jh_mirror_publish_version(const _jh_mirror_t *mirror, const char *vm, uint64_t version)
{
	jh_vm_version_msg_t *body = g_rc_box_new0(jh_vm_version_msg_t);

	body->vm = g_intern_string(vm);
	body->version = version;
	jh_publish(mirror->task, JH_MSG_VM_VERSION, body, NULL);
}

static void sync_handle_reply(_jh_mirror_t *mirror, const char *vm, const Jh__MirrorSync *sync,
			      bool is_adopted)
{
	_jh_fetch_result_t result = JH_FETCH_CONTINUES;

	if (sync->with_rows)
		result = _jh_mirror_apply_rows(mirror, vm, sync);
	if (result != JH_FETCH_CONTINUES) {
		fetch_end(mirror);
		/* next_fetch_vm reported a higher version during this fetch: it may have later
		 * rows. */
		if (mirror->next_fetch_vm)
			sync_fetch(mirror, g_steal_pointer(&mirror->next_fetch_vm));
		/* The VM that sent the rows may be the leader, which waits until this VM has
		 * acknowledged them; a request carries this VM's versions.
		 */
		if (sync->n_rows > 0 && result == JH_FETCH_ENDED)
			sync_request(mirror, vm);
	}
	/* A VM that has restarted and has no lease yet does not acknowledge: its previous instance
	 * may have acknowledged a change that the new one has not read. Nor does an acknowledgement
	 * count whose kept rows were not adopted.
	 */
	if (is_adopted && sync->confirms) {
		ack_store(mirror, vm, sync);
		_jh_mirror_note_reply(mirror, vm);
	}
	if (result != JH_FETCH_POSTPONED &&
	    has_newer_version(mirror, sync->versions, sync->n_versions))
		sync_fetch(mirror, vm);
	_jh_mirror_apply_acks(mirror);
}

/* Notes since when a row of the configuration has been known that this mirror lacks. */
static void note_config_row(_jh_mirror_t *mirror, const Jh__MirrorSync *sync)
{
	_jh_mirror_table_t *table = &mirror->tables[JH_MIRROR_CONFIG];

	if (sync->config_row_version <= table->newest_row_version)
		return;
	table->reported_row_version = MAX(table->reported_row_version, sync->config_row_version);
	if (table->behind_since_us != 0)
		return;
	table->behind_since_us =
		jh_boot_time_us() - CLAMP(sync->config_known_us, 0, CONFIG_KNOWN_MAX_US);
	_jh_mirror_publish_lease(mirror);
}

void _jh_mirror_handle_sync(_jh_mirror_t *mirror, const jh_frame_msg_t *msg)
{
	const Jh__MirrorSync *sync = msg->frame->mirror_sync;
	bool is_adopted = _jh_mirror_adopt_kept_rows(mirror, sync);

	/* Before the version, which tells the leader that this VM acknowledges no more commits. */
	note_acknowledged_of(mirror, sync);
	if (sync->n_versions > JH_MIRROR_FLEET)
		_jh_mirror_publish_version(mirror, msg->vm, sync->versions[JH_MIRROR_FLEET]);
	note_config_row(mirror, sync);
	if (sync->is_reply) {
		sync_handle_reply(mirror, msg->vm, sync, is_adopted);
		return;
	}
	sync_reply(mirror, msg->vm, sync);
	if (has_newer_version(mirror, sync->versions, sync->n_versions))
		sync_fetch(mirror, msg->vm);
}
