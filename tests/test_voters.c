/*
 * Guards against two sets of VMs whose acknowledgements count at the same time and that do not
 * intersect: one renews leases on a primary that the other has replaced. It came about when VMs
 * were counted as voters as soon as they were listed (review/12).
 */

#include "jh_mirror.h"
#include "jh_primary_change.h"
#include "jh_voters.h"
#include "runner.h"

#include <string.h>

#define VMS_MAX 125

static jh_voter_candidate_t vms[VMS_MAX];

static const char *vm_name(unsigned i)
{
	char name[16];

	g_snprintf(name, sizeof(name), "vm-%03u", i);
	return g_intern_string(name);
}

/* Lists @count VMs that respond. */
static void set_up_vms(unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++)
		vms[i] = (jh_voter_candidate_t){ .name = vm_name(i), .is_live = true };
}

static GPtrArray *set_new(unsigned first, unsigned count)
{
	GPtrArray *set = g_ptr_array_new();
	unsigned i;

	for (i = first; i < first + count; i++)
		g_ptr_array_add(set, (void *)vm_name(i));
	return set;
}

static jh_voters_t *voters_new(unsigned count)
{
	jh_voters_t *voters = jh_voters_new();

	voters->generation = 1;
	g_ptr_array_unref(voters->current);
	voters->current = set_new(0, count);
	return voters;
}

static bool is_in_set(const void *data, const char *vm)
{
	return g_ptr_array_find((GPtrArray *)data, vm, NULL);
}

/* Return: whether VMs @first to @first + @count - 1 are a quorum */
static bool have_quorum(const jh_voters_t *voters, unsigned first, unsigned count)
{
	GPtrArray *set = set_new(first, count);
	bool result = jh_voters_have_quorum(voters, is_in_set, set);

	g_ptr_array_unref(set);
	return result;
}

/* VMs 0 and 1 of three are cut off while three more are added: those and VM 2 are no quorum. */
START_TEST(test_added_vms_are_no_quorum_without_a_majority_of_the_earlier_voters)
{
	jh_voters_t *voters = voters_new(3);
	jh_voters_t *next;

	set_up_vms(6);
	next = jh_voters_plan(voters, vms, 6, false);
	ck_assert_ptr_nonnull(next);
	ck_assert_uint_eq(next->generation, 2);
	ck_assert_uint_eq(next->current->len, 6);
	ck_assert_uint_eq(next->previous->len, 3);
	ck_assert(have_quorum(voters, 0, 2));
	ck_assert(!have_quorum(next, 2, 4));
	ck_assert(!have_quorum(next, 0, 3));
	ck_assert(have_quorum(next, 1, 4));
	jh_voters_free(next);
	jh_voters_free(voters);
}
END_TEST

/* Any broad quorum shares a VM with any blocking set, and needs all but a few VMs. */
START_TEST(test_blocking_set_intersects_each_broad_quorum)
{
	unsigned count;
	unsigned size;

	for (count = 1; count <= JH_VOTERS_MAX; count++) {
		jh_voters_t *voters = voters_new(count);

		ck_assert_uint_ge(jh_broad_quorum_size(count), jh_quorum_size(count));
		for (size = 0; size <= count; size++)
			ck_assert_int_eq(
				jh_voters_have_blocking_set(voters, is_in_set, set_new(0, size)),
				size + jh_broad_quorum_size(count) > count);
		jh_voters_free(voters);
	}
	ck_assert_uint_eq(jh_broad_quorum_size(3), 3);
	ck_assert_uint_eq(jh_broad_quorum_size(7), 6);
	ck_assert_uint_eq(jh_broad_quorum_size(14), 11);
}
END_TEST

START_TEST(test_earlier_voters_count_until_the_change_is_acknowledged)
{
	jh_voters_t *voters = voters_new(3);
	jh_voters_t *next;
	jh_voters_t *last;

	set_up_vms(6);
	next = jh_voters_plan(voters, vms, 6, true);
	/* One more VM waits until this change has ended. */
	set_up_vms(7);
	ck_assert_ptr_null(jh_voters_plan(next, vms, 7, false));
	last = jh_voters_plan(next, vms, 7, true);
	ck_assert_ptr_nonnull(last);
	ck_assert_uint_eq(last->generation, 3);
	ck_assert_uint_eq(last->current->len, 6);
	ck_assert_ptr_null(last->previous);
	jh_voters_free(last);
	jh_voters_free(next);
	jh_voters_free(voters);
}
END_TEST

/*
 * Guards against a group without a primary: a VM that reached the store alone began a change to
 * itself as the only voter, which the others could not acknowledge.
 */
START_TEST(test_change_to_voters_that_do_not_respond_is_taken_back)
{
	jh_voters_t *voters = voters_new(1);
	jh_voters_t *next;

	voters->previous = set_new(0, 5);
	set_up_vms(5);
	ck_assert_ptr_null(jh_voters_plan(voters, vms, 5, false));
	vms[0].is_live = false;
	next = jh_voters_plan(voters, vms, 5, false);
	ck_assert_ptr_nonnull(next);
	ck_assert_uint_eq(next->current->len, 5);
	ck_assert_ptr_null(next->previous);
	jh_voters_free(next);
	vms[1].is_live = false;
	vms[2].is_live = false;
	ck_assert_ptr_null(jh_voters_plan(voters, vms, 5, false));
	jh_voters_free(voters);
}
END_TEST

/* Before the first row no lease rests on voters, so that any set may be the first. */
START_TEST(test_first_voters_are_the_vms_that_respond)
{
	jh_voters_t *none = jh_voters_new();
	jh_voters_t *next;

	set_up_vms(3);
	vms[1].is_live = false;
	ck_assert(!have_quorum(none, 0, 3));
	next = jh_voters_plan(none, vms, 3, false);
	ck_assert_uint_eq(next->generation, 1);
	ck_assert_uint_eq(next->current->len, 2);
	ck_assert_ptr_null(next->previous);
	jh_voters_free(next);
	jh_voters_free(none);
}
END_TEST

START_TEST(test_vm_that_does_not_respond_votes_until_it_is_lost)
{
	jh_voters_t *voters = voters_new(5);
	jh_voters_t *next;

	set_up_vms(5);
	vms[3].is_live = false;
	vms[4].is_live = false;
	ck_assert_ptr_null(jh_voters_plan(voters, vms, 5, true));
	vms[3].is_lost = true;
	vms[4].is_lost = true;
	next = jh_voters_plan(voters, vms, 5, true);
	ck_assert_uint_eq(next->current->len, 3);
	ck_assert_uint_eq(next->previous->len, 5);
	jh_voters_free(next);
	jh_voters_free(voters);
}
END_TEST

/*
 * VMs that are restarted one after the other go on voting. If a majority shuts down at once, it is
 * replaced while its VMs still acknowledge.
 */
START_TEST(test_departing_vms_are_replaced_if_a_majority_departs)
{
	jh_voters_t *voters = voters_new(5);
	jh_voters_t *next;

	set_up_vms(5);
	vms[0].is_departing = true;
	vms[1].is_departing = true;
	ck_assert_ptr_null(jh_voters_plan(voters, vms, 5, true));
	vms[2].is_departing = true;
	next = jh_voters_plan(voters, vms, 5, true);
	ck_assert_uint_eq(next->current->len, 2);
	ck_assert(!jh_voters_include(voters, vm_name(9)));
	ck_assert(jh_voters_include(next, vm_name(0)));
	jh_voters_free(next);
	jh_voters_free(voters);
}
END_TEST

/* Load: a fleet that grows by half or loses a rack; the choice by hash replaced most voters. */
START_TEST(test_voters_of_a_large_fleet_stay)
{
	jh_voters_t *voters = voters_new(JH_VOTERS_MAX);
	jh_voters_t *next;
	unsigned i;

	set_up_vms(125);
	ck_assert_ptr_null(jh_voters_plan(voters, vms, 125, true));
	for (i = 0; i < 40; i += 4)
		vms[i].is_lost = true;
	next = jh_voters_plan(voters, vms, 125, true);
	ck_assert_uint_eq(next->current->len, JH_VOTERS_MAX);
	for (i = 0; i < JH_VOTERS_MAX; i++)
		ck_assert_int_eq(g_ptr_array_find(next->current, vm_name(i), NULL), i % 4 != 0);
	jh_voters_free(next);
	jh_voters_free(voters);
}
END_TEST

START_TEST(test_row_keeps_both_sets)
{
	jh_voters_t *voters = voters_new(3);
	jh_error_t err = JH_ERROR_INIT;
	jh_voters_t *read;
	GBytes *body;
	char *text;

	voters->previous = set_new(1, 4);
	text = jh_voters_format(voters);
	body = g_bytes_new_take(text, strlen(text));
	read = jh_voters_parse(body, &err);
	ck_assert_ptr_nonnull(read);
	ck_assert_uint_eq(read->generation, 1);
	ck_assert_uint_eq(read->current->len, 3);
	ck_assert_uint_eq(read->previous->len, 4);
	ck_assert(jh_voters_include(read, vm_name(4)));
	g_bytes_unref(body);
	jh_voters_free(read);
	jh_voters_free(voters);
}
END_TEST

START_TEST(test_malformed_row_is_rejected)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{\"generation\":0,\"voters\":[\"vm-1\"]}",
		"{\"generation\":1,\"voters\":[]}",
		"{\"generation\":1,\"voters\":[7]}",
		"{\"generation\":1,\"voters\":[\"vm-1\"],\"previous\":7}",
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		GBytes *body = g_bytes_new_static(texts[i], strlen(texts[i]));
		jh_error_t err = JH_ERROR_INIT;

		ck_assert_ptr_null(jh_voters_parse(body, &err));
		ck_assert_int_eq(err.code, JH_ERR_INVALID);
		jh_error_clear(&err);
		g_bytes_unref(body);
	}
}
END_TEST

static void add_acks(jh_mirror_lease_t *lease, unsigned first, unsigned count, int64_t at_us)
{
	unsigned i;

	for (i = first; i < first + count; i++)
		jh_mirror_lease_on_vm_ack(lease, vm_name(i), at_us);
}

START_TEST(test_lease_needs_a_majority_of_both_sets)
{
	jh_mirror_lease_t *lease = jh_mirror_lease_new();
	jh_voters_t *voters = voters_new(6);

	voters->previous = set_new(0, 3);
	jh_mirror_lease_on_verified(lease, 0);
	add_acks(lease, 3, 3, 100);
	ck_assert_int_eq(jh_mirror_lease_expiry_us(lease, voters, vm_name(2)), INT64_MIN);
	add_acks(lease, 0, 1, 50);
	ck_assert_int_eq(jh_mirror_lease_expiry_us(lease, voters, vm_name(2)), 50 + JH_LEASE_US);
	/* A VM that has just been added is in the new set only. */
	add_acks(lease, 1, 1, 70);
	ck_assert_int_eq(jh_mirror_lease_expiry_us(lease, voters, vm_name(5)), 50 + JH_LEASE_US);
	jh_voters_free(voters);
	jh_mirror_lease_free(lease);
}
END_TEST

/*
 * Guards against a group without a primary for good: a majority of the voters is lost, or cut off
 * for good. Whoever is left may act once that majority, if it still runs, has no lease.
 */
START_TEST(test_quorum_that_is_lost_ends_by_itself)
{
	const int64_t bound_us = JH_QUORUM_WITHOUT_STORE_US + JH_LEASE_MARGIN_US;
	const int64_t broad_bound_us = JH_BROAD_QUORUM_WITHOUT_STORE_US + JH_LEASE_MARGIN_US;
	jh_mirror_lease_t *lease = jh_mirror_lease_new();
	jh_voters_t *voters = voters_new(3);
	jh_change_acks_t acks = { .vms = 3, .acked = 1, .stored_us = broad_bound_us - 1 };
	int64_t now_us;

	ck_assert(!jh_primary_is_fenced(&acks));
	acks.stored_us = broad_bound_us;
	ck_assert(jh_primary_is_fenced(&acks));
	acks.stored_us = bound_us;
	ck_assert(!jh_primary_is_fenced(&acks));
	acks.blocking_held_us = JH_LEASE_US + JH_LEASE_MARGIN_US;
	ck_assert(jh_primary_is_fenced(&acks));
	acks.stored_us = bound_us - 1;
	ck_assert(!jh_primary_is_fenced(&acks));
	/* The store acknowledged the change after it had been read last. */
	jh_mirror_lease_on_verified(lease, 0);
	for (now_us = 0; now_us < 2 * bound_us; now_us += JH_SYNC_INTERVAL_US) {
		add_acks(lease, 1, 1, now_us);
		ck_assert_int_eq(jh_mirror_lease_expiry_us(lease, voters, vm_name(0)),
				 MIN(now_us + JH_LEASE_US, JH_QUORUM_WITHOUT_STORE_US));
	}
	/* All three, as while the store is away. */
	for (; now_us < 2 * broad_bound_us; now_us += JH_SYNC_INTERVAL_US) {
		add_acks(lease, 1, 2, now_us);
		ck_assert_int_eq(jh_mirror_lease_expiry_us(lease, voters, vm_name(0)),
				 MIN(now_us + JH_LEASE_US, JH_BROAD_QUORUM_WITHOUT_STORE_US));
	}
	jh_voters_free(voters);
	jh_mirror_lease_free(lease);
}
END_TEST

/* Guards against STALE: a VM that was removed from the list is not asked, and may hold a lease. */
START_TEST(test_removed_vm_may_hold_a_lease_until_its_removal_is_settled)
{
	jh_change_acks_t acks = { .vms = 3, .acked = 3, .has_unsettled_removal = true };

	ck_assert(!jh_primary_is_fenced(&acks));
	acks.has_unsettled_removal = false;
	ck_assert(jh_primary_is_fenced(&acks));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_added_vms_are_no_quorum_without_a_majority_of_the_earlier_voters,
		test_blocking_set_intersects_each_broad_quorum,
		test_earlier_voters_count_until_the_change_is_acknowledged,
		test_change_to_voters_that_do_not_respond_is_taken_back,
		test_first_voters_are_the_vms_that_respond,
		test_vm_that_does_not_respond_votes_until_it_is_lost,
		test_departing_vms_are_replaced_if_a_majority_departs,
		test_voters_of_a_large_fleet_stay,
		test_row_keeps_both_sets,
		test_malformed_row_is_rejected,
		test_lease_needs_a_majority_of_both_sets,
		test_quorum_that_is_lost_ends_by_itself,
		test_removed_vm_may_hold_a_lease_until_its_removal_is_settled,
		NULL,
	};

	return run_tests("voters", tests);
}
