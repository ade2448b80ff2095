/*
 * Simulates a group of stand-in members in virtual time. Requests and replies are lost at random,
 * and actors compete to change the primary and may stop halfway. Guards against the loss of entries
 * that were replicated to a majority, logs that differ below the commit index, and two primaries in
 * a term.
 */

#include "member.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define MEMBER_COUNT 3
#define SEED_COUNT 400
#define STEPS_PER_SEED 600
#define MAX_ENTRIES_PER_FETCH 4

typedef struct simulation {
	GRand *rand;
	int64_t now_us;
	sdb_member_t *members[MEMBER_COUNT];
	/* Positions acknowledged to a client as replicated to a majority. */
	GArray *acknowledged;
	uint64_t next_payload;
	unsigned next_actor_id;
	/* Highest commit index that each member has had. */
	uint64_t commit_indexes[MEMBER_COUNT];
} simulation_t;

static const char *const member_names[MEMBER_COUNT] = { "a", "b", "c" };

static void simulation_init(simulation_t *simulation, guint32 seed)
{
	GPtrArray *members = g_ptr_array_new();
	unsigned i;

	*simulation = (simulation_t){ .rand = g_rand_new_with_seed(seed) };
	for (i = 0; i < MEMBER_COUNT; i++)
		g_ptr_array_add(members, (gpointer)member_names[i]);
	for (i = 0; i < MEMBER_COUNT; i++)
		simulation->members[i] = sdb_member_new(member_names[i], members, "a", 0);
	simulation->acknowledged = g_array_new(FALSE, FALSE, sizeof(jh_position_t));
	g_ptr_array_free(members, TRUE);
}

static void simulation_free(simulation_t *simulation)
{
	unsigned i;

	for (i = 0; i < MEMBER_COUNT; i++)
		sdb_member_free(simulation->members[i]);
	g_array_free(simulation->acknowledged, TRUE);
	g_rand_free(simulation->rand);
}

static sdb_member_t *member_pick_random(simulation_t *simulation)
{
	return simulation->members[g_rand_int_range(simulation->rand, 0, MEMBER_COUNT)];
}

static sdb_member_t *member_find(simulation_t *simulation, const char *name)
{
	unsigned i;

	for (i = 0; name && i < MEMBER_COUNT; i++) {
		if (g_str_equal(member_names[i], name))
			return simulation->members[i];
	}
	return NULL;
}

/* A replica fetches entries from its primary; the request or the reply may be lost. */
static void replica_fetch_entries(simulation_t *simulation)
{
	sdb_member_t *replica = member_pick_random(simulation);
	sdb_member_t *primary = member_find(simulation, replica->primary);
	sdb_fetch_t fetch = { .member = replica->name,
			      .log_end = sdb_member_log_end(replica),
			      .commit_index = replica->commit_index };
	sdb_fetch_reply_t reply;

	if (replica->role == SDB_PRIMARY || !primary ||
	    g_rand_int_range(simulation->rand, 0, 4) == 0)
		return;
	sdb_member_apply_fetch(primary, &fetch);
	sdb_member_build_reply(primary, &fetch, MAX_ENTRIES_PER_FETCH, SIZE_MAX, &reply);
	if (g_rand_int_range(simulation->rand, 0, 4) > 0)
		sdb_member_apply_reply(replica, &reply, simulation->now_us, simulation->now_us);
	sdb_fetch_reply_clear(&reply);
	sdb_member_set_applied(replica,
			       sdb_member_applicable_index(replica, 0, simulation->now_us));
}

static void random_primary_append(simulation_t *simulation)
{
	sdb_member_t *member = member_pick_random(simulation);
	uint64_t payload = simulation->next_payload++;

	if (member->role == SDB_PRIMARY)
		sdb_member_append(member, g_bytes_new(&payload, sizeof(payload)),
				  simulation->now_us);
}

/*
 * Applies the proxy's rule: a position is acknowledged once a majority reports the term of the
 * primary and a log that reaches the position in this term.
 */
static void acknowledge_if_replicated(simulation_t *simulation)
{
	const sdb_member_t *primary = member_pick_random(simulation);
	jh_position_t position = sdb_member_log_end(primary);
	unsigned replicated_count = 0;
	unsigned i;

	if (primary->role != SDB_PRIMARY)
		return;
	for (i = 0; i < MEMBER_COUNT; i++) {
		const sdb_member_t *member = simulation->members[i];

		replicated_count += member->term == position.term &&
				    sdb_member_log_end(member).term == position.term &&
				    sdb_member_log_end(member).index >= position.index;
	}
	if (2 * replicated_count > MEMBER_COUNT)
		g_array_append_val(simulation->acknowledged, position);
}

/*
 * Fences a majority and promotes the fenced member with the highest log end. The actor may stop
 * after any step, and single commands may be lost.
 */
static void change_primary(simulation_t *simulation)
{
	/* An actor may promote only one member in a term, so each attempt uses a new actor name. */
	char *actor = g_strdup_printf("actor-%u", simulation->next_actor_id++);
	uint64_t term = member_pick_random(simulation)->promised_term + 1;
	sdb_member_t *successor = NULL;
	unsigned granted_count = 0;
	unsigned i;

	for (i = 0; i < MEMBER_COUNT; i++) {
		sdb_member_t *member = simulation->members[i];

		if (g_rand_int_range(simulation->rand, 0, 5) == 0 ||
		    !sdb_member_fence(member, term, actor))
			continue;
		granted_count++;
		if (!successor || jh_position_compare(sdb_member_log_end(member),
						      sdb_member_log_end(successor)) > 0)
			successor = member;
	}
	if (2 * granted_count <= MEMBER_COUNT || g_rand_int_range(simulation->rand, 0, 5) == 0 ||
	    !sdb_member_promote(successor, term, actor, simulation->now_us))
		goto done;
	for (i = 0; i < MEMBER_COUNT; i++) {
		if (g_rand_int_range(simulation->rand, 0, 5) > 0)
			sdb_member_follow(simulation->members[i], term, successor->name,
					  simulation->now_us);
	}
done:
	g_free(actor);
}

static bool logs_agree(const sdb_member_t *a, const sdb_member_t *b, uint64_t end)
{
	uint64_t i;

	for (i = 0; i < end; i++) {
		const sdb_log_entry_t *left = g_ptr_array_index(a->log, i);
		const sdb_log_entry_t *right = g_ptr_array_index(b->log, i);

		if (left->term != right->term || !left->payload != !right->payload ||
		    (left->payload && !g_bytes_equal(left->payload, right->payload)))
			return false;
	}
	return true;
}

static void check_invariants(simulation_t *simulation, guint32 seed)
{
	const sdb_member_t *newest_primary = NULL;
	unsigned i;
	unsigned j;

	for (i = 0; i < MEMBER_COUNT; i++) {
		const sdb_member_t *member = simulation->members[i];

		ck_assert_msg(member->commit_index >= simulation->commit_indexes[i],
			      "seed %u: the commit index decreased", seed);
		simulation->commit_indexes[i] = member->commit_index;
		for (j = 0; j < i; j++) {
			const sdb_member_t *other = simulation->members[j];
			uint64_t end = MIN(member->commit_index, other->commit_index);

			ck_assert_msg(logs_agree(member, other, end), "seed %u: logs differ", seed);
			ck_assert_msg(member->role != SDB_PRIMARY || other->role != SDB_PRIMARY ||
					      member->term != other->term,
				      "seed %u: two primaries in one term", seed);
		}
		if (member->role == SDB_PRIMARY &&
		    (!newest_primary || member->term > newest_primary->term))
			newest_primary = member;
	}
	for (i = 0; newest_primary && i < simulation->acknowledged->len; i++) {
		jh_position_t position = g_array_index(simulation->acknowledged, jh_position_t, i);

		ck_assert_msg(position.term > newest_primary->term ||
				      (position.index <= newest_primary->log->len &&
				       sdb_member_position(newest_primary, position.index).term ==
					       position.term),
			      "seed %u: an acknowledged write is lost", seed);
	}
}

START_TEST(test_acknowledged_writes_survive)
{
	unsigned acknowledged = 0;
	guint32 seed;
	unsigned step;

	for (seed = 1; seed <= SEED_COUNT; seed++) {
		simulation_t simulation;

		simulation_init(&simulation, seed);
		for (step = 0; step < STEPS_PER_SEED; step++) {
			int action_roll = g_rand_int_range(simulation.rand, 0, 100);

			simulation.now_us += 1000;
			if (action_roll < 60)
				replica_fetch_entries(&simulation);
			else if (action_roll < 80)
				random_primary_append(&simulation);
			else if (action_roll < 96)
				acknowledge_if_replicated(&simulation);
			else
				change_primary(&simulation);
			check_invariants(&simulation, seed);
		}
		acknowledged += simulation.acknowledged->len;
		simulation_free(&simulation);
	}
	printf("member: %d seeds, %u acknowledgements\n", SEED_COUNT, acknowledged);
	ck_assert_uint_gt(acknowledged, SEED_COUNT);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("member");
	TCase *tcase = tcase_create("log");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, test_acknowledged_writes_survive);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
