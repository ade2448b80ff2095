/*
 * Guards against a stale read by a sample that counts as newer than it is, by a reply of another VM
 * or to another ask; and against asks without readers, or to a VM that does not reply.
 */

#include "jh_position_ask.h"
#include "runner.h"

#define MS INT64_C(1000)
#define START (100000 * MS)

static const char *const vm_a = "vm-a";
static const char *const vm_b = "vm-b";

static jh_position_asker_t *asker_with_read(int64_t max_age_us)
{
	jh_position_asker_t *asker = jh_position_asker_new();

	jh_position_asker_on_read(asker, max_age_us, START);
	return asker;
}

/*
 * Clocks of different origins, delays and pauses on every step: a sample never counts as newer than
 * it is.
 */
START_TEST(test_sample_never_counts_as_newer_than_it_is)
{
	GRand *rand = g_rand_new_with_seed(1);
	unsigned i;

	for (i = 0; i < 10000; i++) {
		jh_position_asker_t *asker = jh_position_asker_new();
		/* Offset of the clock of the asked VM, and the true times of each step. */
		int64_t offset_us = g_rand_int_range(rand, -1000000, 1000000) * MS;
		int64_t sent_us = START + g_rand_int_range(rand, 0, 1000000);
		int64_t sampled_us = sent_us + g_rand_int_range(rand, -5000000, 300000);
		int64_t replied_us = MAX(sent_us, sampled_us) + g_rand_int_range(rand, 0, 2000000);
		int64_t arrived_us = replied_us + g_rand_int_range(rand, 0, 2000000);
		int64_t age_us = (replied_us + offset_us) - (sampled_us + offset_us);
		int64_t counted_us = 0;

		jh_position_asker_on_read(asker, 1500 * MS, sent_us);
		jh_position_asker_on_sent(asker, vm_a, sent_us);
		ck_assert(jh_position_asker_on_reply(asker, vm_a, sent_us, age_us, &counted_us));
		ck_assert_int_le(counted_us, sampled_us);
		ck_assert_int_le(counted_us, arrived_us - age_us);
		jh_position_asker_free(asker);
	}
	g_rand_free(rand);
}
END_TEST

START_TEST(test_only_the_asked_vm_replies_and_only_once)
{
	jh_position_asker_t *asker = asker_with_read(1500 * MS);
	int64_t counted_us = 0;

	jh_position_asker_on_sent(asker, vm_a, START);
	ck_assert(!jh_position_asker_on_reply(asker, vm_b, START, 0, &counted_us));
	ck_assert(!jh_position_asker_on_reply(asker, vm_a, START - 1, 0, &counted_us));
	ck_assert(!jh_position_asker_on_reply(asker, NULL, 0, 0, &counted_us));
	ck_assert(jh_position_asker_on_reply(asker, vm_a, START, 7, &counted_us));
	ck_assert_int_eq(counted_us, START - 7);
	ck_assert(!jh_position_asker_on_reply(asker, vm_a, START, 0, &counted_us));
	jh_position_asker_free(asker);
}
END_TEST

/* Ages come from another VM: none may make a time that lies ahead or overflows. */
START_TEST(test_impossible_ages_do_not_count)
{
	static const int64_t ages_us[] = { -1, INT64_MIN, INT64_MAX, START + 1 };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(ages_us); i++) {
		jh_position_asker_t *asker = asker_with_read(1500 * MS);
		int64_t counted_us = 0;

		jh_position_asker_on_sent(asker, vm_a, START);
		ck_assert(!jh_position_asker_on_reply(asker, vm_a, START, ages_us[i], &counted_us));
		ck_assert_int_eq(counted_us, 0);
		jh_position_asker_free(asker);
	}
}
END_TEST

START_TEST(test_late_reply_counts_at_the_time_of_its_own_ask)
{
	jh_position_asker_t *asker = asker_with_read(1500 * MS);
	int64_t second_us = START + JH_POSITION_REPLY_US;
	int64_t counted_us = 0;

	jh_position_asker_on_sent(asker, vm_a, START);
	jh_position_asker_on_sent(asker, vm_b, second_us);
	ck_assert(jh_position_asker_on_reply(asker, vm_a, START, 10, &counted_us));
	ck_assert_int_eq(counted_us, START - 10);
	ck_assert(jh_position_asker_on_reply(asker, vm_b, second_us, 10, &counted_us));
	ck_assert_int_eq(counted_us, second_us - 10);
	jh_position_asker_free(asker);
}
END_TEST

START_TEST(test_asks_follow_the_reads)
{
	jh_position_asker_t *asker = jh_position_asker_new();

	ck_assert(!jh_position_asker_is_due(asker, INT64_MIN, START));
	ck_assert(!jh_position_asker_expects_reply(asker));
	jh_position_asker_on_read(asker, 1500 * MS, START);
	ck_assert(jh_position_asker_is_due(asker, INT64_MIN, START));
	/* A third of the age that reads accept. */
	ck_assert(!jh_position_asker_is_due(asker, START - 500 * MS, START));
	ck_assert(jh_position_asker_is_due(asker, START - 501 * MS, START));
	jh_position_asker_on_read(asker, 300 * MS, START);
	jh_position_asker_on_read(asker, 1500 * MS, START);
	ck_assert(jh_position_asker_is_due(asker, START - 101 * MS, START));
	/* No asks without reads. */
	ck_assert(!jh_position_asker_is_due(asker, INT64_MIN, START + 1000 * MS));
	jh_position_asker_free(asker);
}
END_TEST

START_TEST(test_one_ask_at_a_time_and_the_next_to_another_vm)
{
	jh_position_asker_t *asker = asker_with_read(1500 * MS);
	unsigned attempt = jh_position_asker_attempt(asker);
	int64_t now_us = START;
	unsigned i;

	jh_position_asker_on_sent(asker, vm_a, now_us);
	ck_assert(!jh_position_asker_is_due(asker, INT64_MIN, now_us + 99 * MS));
	for (i = 0; i < 3; i++) {
		ck_assert(jh_position_asker_expects_reply(asker));
		now_us += JH_POSITION_REPLY_US;
		ck_assert(jh_position_asker_is_due(asker, INT64_MIN, now_us));
		ck_assert_uint_eq(jh_position_asker_attempt(asker), attempt + i + 1);
		jh_position_asker_on_sent(asker, vm_b, now_us);
	}
	/* No VM replies: reads do not wait for one any more, and asks continue. */
	ck_assert(!jh_position_asker_expects_reply(asker));
	ck_assert(jh_position_asker_is_due(asker, INT64_MIN, now_us + JH_POSITION_REPLY_US));
	ck_assert(jh_position_asker_on_reply(asker, vm_b, now_us, 0, &now_us));
	ck_assert(jh_position_asker_expects_reply(asker));
	jh_position_asker_free(asker);
}
END_TEST

/* VMs without a position reply at once: the asks must not become a stream. */
START_TEST(test_useless_replies_do_not_multiply_the_asks)
{
	jh_position_asker_t *asker = asker_with_read(1500 * MS);
	unsigned sent = 0;
	int64_t now_us;

	for (now_us = START; now_us < START + 1000 * MS; now_us += MS) {
		int64_t counted_us;

		jh_position_asker_on_read(asker, 1500 * MS, now_us);
		if (!jh_position_asker_is_due(asker, INT64_MIN, now_us))
			continue;
		sent++;
		jh_position_asker_on_sent(asker, vm_a, now_us);
		ck_assert(!jh_position_asker_on_reply(asker, vm_a, now_us, -1, &counted_us));
	}
	ck_assert_uint_ge(sent, 10);
	ck_assert_uint_le(sent, 15);
	jh_position_asker_free(asker);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_sample_never_counts_as_newer_than_it_is,
		test_only_the_asked_vm_replies_and_only_once,
		test_impossible_ages_do_not_count,
		test_late_reply_counts_at_the_time_of_its_own_ask,
		test_asks_follow_the_reads,
		test_one_ask_at_a_time_and_the_next_to_another_vm,
		test_useless_replies_do_not_multiply_the_asks,
		NULL,
	};

	return run_tests("position_ask", tests);
}
