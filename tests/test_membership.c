#include "internal/_jh_membership.h"

#include <check.h>
#include <stdio.h>

/* A fleet in virtual time; each VM's messages are packed as frames to count their bytes. */

#define MS ((int64_t)1000)
#define TICK_US JH_MEMBERSHIP_TICK_US
#define LATENCY_US (1 * MS)
#define MAX_VMS 700u

/* TCP and IP headers of a small frame, and the acknowledgement that answers it. */
#define WIRE_BYTES (52u + 52u)

typedef struct letter {
	int64_t at_us;
	unsigned to;
	const char *from;
	jh_membership_action_t action;
} letter_t;

typedef struct fleet {
	unsigned count;
	int64_t now_us;
	GRand *random;
	jh_membership_t *vms[MAX_VMS];
	const char *names[MAX_VMS];
	int64_t frozen_until_us[MAX_VMS];
	bool cut[MAX_VMS];
	bool drops[MAX_VMS];
	bool stopped[MAX_VMS];
	unsigned refutations;
	double loss;
	/* Letters by time; every letter takes the same time, so that a queue keeps the order. */
	GQueue letters;
	GHashTable *index;
	uint64_t bytes;
	GArray *actions;
} fleet_t;

static uint64_t fleet_random(fleet_t *fleet)
{
	return (uint64_t)g_rand_int(fleet->random) << 32 | g_rand_int(fleet->random);
}

static void fleet_count_bytes(fleet_t *fleet, const jh_membership_action_t *action)
{
	Jh__Frame *frame = _jh_membership_frame_new(action);

	fleet->bytes += JH_FRAME_HEADER_BYTES + jh__frame__get_packed_size(frame) + WIRE_BYTES;
	jh_frame_free(frame);
}

static void fleet_decide(fleet_t *fleet, unsigned vm, const jh_membership_event_t *event)
{
	unsigned i;

	jh_membership_decide(fleet->vms[vm], event, fleet->now_us, fleet_random(fleet),
			     fleet->actions);
	for (i = 0; i < fleet->actions->len; i++) {
		const jh_membership_action_t *action =
			&g_array_index(fleet->actions, jh_membership_action_t, i);
		letter_t *letter;

		fleet->refutations += action->type == JH_MEMBERSHIP_REFUTED;
		if (action->type != JH_MEMBERSHIP_PROBE && action->type != JH_MEMBERSHIP_ANSWER)
			continue;
		fleet_count_bytes(fleet, action);
		letter = g_new0(letter_t, 1);
		letter->at_us = fleet->now_us + LATENCY_US;
		letter->from = fleet->names[vm];
		letter->to = GPOINTER_TO_UINT(g_hash_table_lookup(fleet->index, action->to));
		letter->action = *action;
		if (fleet->cut[vm] || fleet->cut[letter->to] || fleet->stopped[letter->to] ||
		    g_rand_double(fleet->random) < fleet->loss)
			g_free(letter);
		else
			g_queue_push_tail(&fleet->letters, letter);
	}
}

static void fleet_deliver(fleet_t *fleet, letter_t *letter)
{
	const jh_membership_event_t event = {
		.type = letter->action.type == JH_MEMBERSHIP_PROBE ? JH_MEMBERSHIP_PROBED :
								     JH_MEMBERSHIP_ANSWERED,
		.from = letter->from,
		.sequence = letter->action.sequence,
		.target = letter->action.target,
		.news = letter->action.news,
		.news_count = letter->action.news_count,
	};

	fleet->now_us = MAX(fleet->now_us, letter->at_us);
	if (!fleet->stopped[letter->to])
		fleet_decide(fleet, letter->to, &event);
	g_free(letter);
}

/* Deliver what is due; letters to a frozen VM wait in its sockets. */
static void fleet_deliver_due(fleet_t *fleet, int64_t until_us)
{
	GQueue later = G_QUEUE_INIT;
	letter_t *letter;

	while ((letter = g_queue_peek_head(&fleet->letters)) && letter->at_us <= until_us) {
		g_queue_pop_head(&fleet->letters);
		if (fleet->frozen_until_us[letter->to] > letter->at_us)
			g_queue_push_tail(&later, letter);
		else
			fleet_deliver(fleet, letter);
	}
	while ((letter = g_queue_pop_tail(&later))) {
		letter->at_us = MAX(letter->at_us, until_us);
		g_queue_push_head(&fleet->letters, letter);
	}
}

static void fleet_run(fleet_t *fleet, int64_t length_us)
{
	const jh_membership_event_t tick = { .type = JH_MEMBERSHIP_TICK };
	int64_t until_us = fleet->now_us + length_us;

	while (fleet->now_us < until_us) {
		int64_t next_us = fleet->now_us + TICK_US;
		unsigned i;

		fleet_deliver_due(fleet, next_us);
		fleet->now_us = next_us;
		for (i = 0; i < fleet->count; i++) {
			if (!fleet->stopped[i] && fleet->frozen_until_us[i] <= next_us)
				fleet_decide(fleet, i, &tick);
		}
	}
}

static void fleet_list(fleet_t *fleet, const GPtrArray *list)
{
	const jh_membership_event_t event = { .type = JH_MEMBERSHIP_LISTED, .list = list };
	unsigned i;

	for (i = 0; i < fleet->count; i++)
		fleet_decide(fleet, i, &event);
}

static jh_vm_t *vm_new(unsigned i)
{
	jh_vm_t *vm = g_new0(jh_vm_t, 1);

	vm->name = g_strdup_printf("vm-%03u", i);
	vm->dc = g_strdup_printf("dc-%u", i % 7);
	vm->host = g_strdup_printf("10.0.%u.%u", i / 250, i % 250 + 1);
	vm->port = 7000;
	return vm;
}

static GPtrArray *list_new(unsigned count)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(jh_vm_free);
	unsigned i;

	for (i = 0; i < count; i++)
		g_ptr_array_add(list, vm_new(i));
	return list;
}

static fleet_t *fleet_new(unsigned count, uint32_t seed)
{
	fleet_t *fleet = g_new0(fleet_t, 1);
	GPtrArray *list = list_new(count);
	unsigned i;

	fleet->count = count;
	fleet->random = g_rand_new_with_seed(seed);
	fleet->index = g_hash_table_new(NULL, NULL);
	fleet->actions = g_array_new(FALSE, FALSE, sizeof(jh_membership_action_t));
	g_queue_init(&fleet->letters);
	for (i = 0; i < count; i++) {
		fleet->vms[i] = jh_membership_new(g_ptr_array_index(list, i));
		fleet->names[i] = g_intern_string(((jh_vm_t *)g_ptr_array_index(list, i))->name);
		g_hash_table_insert(fleet->index, (gpointer)fleet->names[i], GUINT_TO_POINTER(i));
	}
	fleet_list(fleet, list);
	g_ptr_array_free(list, TRUE);
	fleet_run(fleet, 3000 * MS);
	return fleet;
}

static void fleet_free(fleet_t *fleet)
{
	unsigned i;

	for (i = 0; i < fleet->count; i++)
		jh_membership_free(fleet->vms[i]);
	g_queue_clear_full(&fleet->letters, g_free);
	g_hash_table_destroy(fleet->index);
	g_array_free(fleet->actions, TRUE);
	g_rand_free(fleet->random);
	g_free(fleet);
}

/* State that @observer publishes for @vm. */
static jh_vm_state_t published(const fleet_t *fleet, unsigned observer, unsigned vm)
{
	GPtrArray *view = jh_membership_view(fleet->vms[observer]);
	jh_vm_state_t state = JH_VM_DEAD;
	unsigned i;

	for (i = 0; i < view->len; i++) {
		const jh_vm_t *entry = g_ptr_array_index(view, i);

		if (g_str_equal(entry->name, fleet->names[vm]))
			state = entry->state;
	}
	g_ptr_array_set_free_func(view, jh_vm_free);
	g_ptr_array_free(view, TRUE);
	return state;
}

static unsigned count_holding(const fleet_t *fleet, unsigned vm, jh_vm_state_t state)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < fleet->count; i++)
		count += i != vm && !fleet->stopped[i] && published(fleet, i, vm) == state;
	return count;
}

/* Return: time until all others hold @vm for @state, -1 if not within the limit */
static int64_t await_state(fleet_t *fleet, unsigned vm, jh_vm_state_t state, int64_t limit_us)
{
	int64_t start_us = fleet->now_us;

	while (fleet->now_us - start_us < limit_us) {
		fleet_run(fleet, TICK_US);
		if (count_holding(fleet, vm, state) == fleet->count - 1)
			return fleet->now_us - start_us;
	}
	return -1;
}

START_TEST(test_lost_vm_is_found_dead)
{
	int64_t worst_us = 0;
	int64_t sum_us = 0;
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++) {
		fleet_t *fleet = fleet_new(7, seed);
		int64_t found_us;

		fleet_run(fleet, g_rand_int_range(fleet->random, 0, 1000) * MS);
		fleet->stopped[seed % 7] = true;
		found_us = await_state(fleet, seed % 7, JH_VM_DEAD, 3000 * MS);
		ck_assert_msg(found_us >= 0, "seed %u", seed);
		worst_us = MAX(worst_us, found_us);
		sum_us += found_us;
		fleet_free(fleet);
	}
	printf("7 VMs: dead everywhere after %d ms on average, %d ms at most (seeds 1 to 100)\n",
	       (int)(sum_us / 100 / MS), (int)(worst_us / MS));
	fflush(stdout);
}
END_TEST

START_TEST(test_frozen_vm_learns_that_it_was_dead)
{
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++) {
		fleet_t *fleet = fleet_new(7, seed);
		unsigned i;

		fleet->frozen_until_us[3] = fleet->now_us + 2500 * MS;
		fleet_run(fleet, 2400 * MS);
		ck_assert_msg(count_holding(fleet, 3, JH_VM_DEAD) == 6, "seed %u", seed);
		/* From its first tick until it has refuted, it holds itself for suspect. */
		for (i = 0; i < 40 && fleet->refutations == 0; i++) {
			fleet_run(fleet, TICK_US);
			if (fleet->frozen_until_us[3] < fleet->now_us && fleet->refutations == 0)
				ck_assert_int_eq(published(fleet, 3, 3), JH_VM_SUSPECT);
		}
		ck_assert_msg(fleet->refutations > 0, "seed %u", seed);
		fleet_run(fleet, 1500 * MS);
		ck_assert_msg(count_holding(fleet, 3, JH_VM_LIVE) == 6, "seed %u", seed);
		ck_assert_int_eq(published(fleet, 3, 3), JH_VM_LIVE);
		fleet_free(fleet);
	}
}
END_TEST

START_TEST(test_loss_of_messages_leaves_all_live)
{
	uint32_t seed;

	for (seed = 1; seed <= 50; seed++) {
		fleet_t *fleet = fleet_new(7, seed);
		unsigned vm;

		fleet->loss = 0.05;
		fleet_run(fleet, 20000 * MS);
		fleet->loss = 0;
		fleet_run(fleet, 3000 * MS);
		for (vm = 0; vm < 7; vm++)
			ck_assert_msg(count_holding(fleet, vm, JH_VM_LIVE) == 6, "seed %u vm %u",
				      seed, vm);
		fleet_free(fleet);
	}
}
END_TEST

START_TEST(test_healed_partition_joins_again)
{
	uint32_t seed;

	for (seed = 1; seed <= 50; seed++) {
		fleet_t *fleet = fleet_new(7, seed);

		fleet->cut[2] = true;
		fleet_run(fleet, 10000 * MS);
		ck_assert_uint_eq(count_holding(fleet, 2, JH_VM_DEAD), 6);
		fleet->cut[2] = false;
		ck_assert_msg(await_state(fleet, 2, JH_VM_LIVE, 20000 * MS) >= 0, "seed %u", seed);
		fleet_free(fleet);
	}
}
END_TEST

START_TEST(test_lagging_list_revives_nobody)
{
	fleet_t *fleet = fleet_new(7, 1);
	GPtrArray *list = list_new(7);

	fleet->stopped[5] = true;
	fleet_run(fleet, 3000 * MS);
	fleet_list(fleet, list);
	ck_assert_uint_eq(count_holding(fleet, 5, JH_VM_DEAD), 6);
	/* A VM that the list does not name yet is known by its own word. */
	g_ptr_array_remove_index(list, 4);
	fleet_list(fleet, list);
	fleet_run(fleet, 1000 * MS);
	ck_assert_uint_eq(count_holding(fleet, 4, JH_VM_LIVE), 5);
	g_ptr_array_free(list, TRUE);
	fleet_free(fleet);
}
END_TEST

/* The list is corrected before the VM was ever heard from. */
START_TEST(test_corrected_address_is_taken)
{
	fleet_t *fleet = fleet_new(2, 1);
	GPtrArray *list = list_new(3);
	GPtrArray *view;
	jh_vm_t *absent = g_ptr_array_index(list, 2);

	/* It is not run: letters to it go nowhere. */
	g_hash_table_insert(fleet->index, (gpointer)g_intern_string(absent->name),
			    GUINT_TO_POINTER(2));
	fleet->stopped[2] = true;
	fleet_list(fleet, list);
	fleet_run(fleet, 4000 * MS);
	ck_assert_int_eq(jh_membership_state(fleet->vms[0], absent->name), JH_VM_DEAD);
	absent->port = 7001;
	fleet_list(fleet, list);
	ck_assert_int_eq(jh_membership_state(fleet->vms[0], absent->name), JH_VM_LIVE);
	view = jh_membership_view(fleet->vms[0]);
	ck_assert_uint_eq(((jh_vm_t *)g_ptr_array_index(view, 2))->port, 7001);
	g_ptr_array_set_free_func(view, jh_vm_free);
	g_ptr_array_free(view, TRUE);
	g_ptr_array_free(list, TRUE);
	fleet_free(fleet);
}
END_TEST

START_TEST(test_departing_vm_gets_no_new_roles)
{
	const jh_membership_event_t drain = { .type = JH_MEMBERSHIP_DRAINED };
	fleet_t *fleet = fleet_new(7, 1);
	GPtrArray *list = list_new(7);

	/* By its own word: everywhere within a second. */
	fleet_decide(fleet, 1, &drain);
	ck_assert_int_ge(await_state(fleet, 1, JH_VM_DEPARTING, 1000 * MS), 0);
	ck_assert_int_eq(published(fleet, 1, 1), JH_VM_DEPARTING);
	/* By the platform's list. */
	((jh_vm_t *)g_ptr_array_index(list, 6))->state = JH_VM_DEPARTING;
	fleet_list(fleet, list);
	ck_assert_uint_eq(count_holding(fleet, 6, JH_VM_DEPARTING), 6);
	ck_assert_int_eq(published(fleet, 6, 6), JH_VM_DEPARTING);
	g_ptr_array_free(list, TRUE);
	fleet_free(fleet);
}
END_TEST

/* A VM that starts anew under its name, with the lowest incarnation. */
START_TEST(test_restarted_vm_is_live_again)
{
	fleet_t *fleet = fleet_new(7, 1);
	jh_vm_t *vm = vm_new(3);
	GPtrArray *list = list_new(7);

	fleet->frozen_until_us[3] = fleet->now_us + 2000 * MS;
	fleet_run(fleet, 4000 * MS);
	fleet->stopped[3] = true;
	fleet_run(fleet, 3000 * MS);
	ck_assert_uint_eq(count_holding(fleet, 3, JH_VM_DEAD), 6);
	jh_membership_free(fleet->vms[3]);
	fleet->vms[3] = jh_membership_new(vm);
	fleet->stopped[3] = false;
	fleet_list(fleet, list);
	ck_assert_int_ge(await_state(fleet, 3, JH_VM_LIVE, 2000 * MS), 0);
	jh_vm_free(vm);
	g_ptr_array_free(list, TRUE);
	fleet_free(fleet);
}
END_TEST

static bool is_all_dead(const fleet_t *fleet, unsigned observer)
{
	unsigned i;

	for (i = 0; i < fleet->count; i++) {
		if (fleet->stopped[i] &&
		    jh_membership_state(fleet->vms[observer], fleet->names[i]) != JH_VM_DEAD)
			return false;
	}
	return true;
}

/* A data centre with a seventh of the VMs is lost at once; nobody else is taken for dead. */
START_TEST(test_lost_data_centre_is_found_dead)
{
	fleet_t *fleet = fleet_new(210, 1);
	int64_t start_us = fleet->now_us;
	unsigned done = 0;
	unsigned i;

	for (i = 0; i < fleet->count; i += 7)
		fleet->stopped[i] = true;
	while (done < 180 && fleet->now_us - start_us < 20000 * MS) {
		fleet_run(fleet, TICK_US);
		done = 0;
		for (i = 0; i < fleet->count; i++)
			done += !fleet->stopped[i] && is_all_dead(fleet, i);
	}
	printf("210 VMs, 30 lost at once: dead everywhere after %d ms\n",
	       (int)((fleet->now_us - start_us) / MS));
	fflush(stdout);
	ck_assert_uint_eq(done, 180);
	for (i = 0; i < fleet->count; i++) {
		if (!fleet->stopped[i])
			ck_assert_uint_eq(count_holding(fleet, i, JH_VM_DEAD), 0);
	}
	fleet_free(fleet);
}
END_TEST

START_TEST(test_cost_does_not_grow_with_the_fleet)
{
	static const unsigned sizes[] = { 7, 70, 680 };
	double rates[G_N_ELEMENTS(sizes)];
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		fleet_t *fleet = fleet_new(sizes[i], 1);
		uint64_t before;
		int64_t found_us;

		fleet_run(fleet, 5000 * MS);
		before = fleet->bytes;
		fleet_run(fleet, 5000 * MS);
		/* Each byte sent is also received. */
		rates[i] = 2.0 * (double)(fleet->bytes - before) / 5 / sizes[i];
		fleet->stopped[sizes[i] / 2] = true;
		found_us = await_state(fleet, sizes[i] / 2, JH_VM_DEAD, 5000 * MS);
		printf("%u VMs: %.0f bytes/s sent and received by each, dead everywhere after %d ms\n",
		       sizes[i], rates[i], (int)(found_us / MS));
		fflush(stdout);
		ck_assert_int_ge(found_us, 0);
		fleet_free(fleet);
	}
	ck_assert(rates[2] < 18000);
	ck_assert(rates[2] < 1.5 * rates[1]);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("membership");
	TCase *tcase = tcase_create("fleet");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 240);
	tcase_add_test(tcase, test_lost_vm_is_found_dead);
	tcase_add_test(tcase, test_frozen_vm_learns_that_it_was_dead);
	tcase_add_test(tcase, test_loss_of_messages_leaves_all_live);
	tcase_add_test(tcase, test_healed_partition_joins_again);
	tcase_add_test(tcase, test_lagging_list_revives_nobody);
	tcase_add_test(tcase, test_corrected_address_is_taken);
	tcase_add_test(tcase, test_departing_vm_gets_no_new_roles);
	tcase_add_test(tcase, test_restarted_vm_is_live_again);
	tcase_add_test(tcase, test_lost_data_centre_is_found_dead);
	tcase_add_test(tcase, test_cost_does_not_grow_with_the_fleet);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
