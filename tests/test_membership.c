#include "internal/_jh_membership.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

/*
 * Guards against a live VM that is declared dead because messages are lost or another data centre
 * fails, or that stays dead after a pause, a restart or a network partition; a dead VM that stays
 * live or is revived by a stale list; and traffic that grows with the fleet. Simulates a fleet in
 * virtual time. Messages are passed as actions; they are also encoded as frames, to count their
 * bytes.
 */

#define MS ((int64_t)1000)
#define TICK_US JH_MEMBERSHIP_TICK_US
#define LATENCY_US (1 * MS)
#define MAX_VMS 700u

/* TCP and IP headers of a small frame, and of the TCP acknowledgement of it. */
#define TCP_OVERHEAD_BYTES (52u + 52u)

typedef struct message {
	int64_t deliver_us;
	unsigned to;
	const char *from;
	jh_membership_action_t action;
} message_t;

typedef struct fleet {
	unsigned count;
	int64_t now_us;
	GRand *random;
	jh_membership_t *vms[MAX_VMS];
	const char *names[MAX_VMS];
	int64_t paused_until_us[MAX_VMS];
	bool is_partitioned[MAX_VMS];
	/* Messages between VMs with different numbers are lost. */
	unsigned side[MAX_VMS];
	unsigned view_count[MAX_VMS];
	bool drops[MAX_VMS];
	bool is_stopped[MAX_VMS];
	unsigned refutation_count;
	double loss_rate;
	/* Messages in the order of delivery; all have the same latency. */
	GQueue messages;
	GHashTable *index_by_name;
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

	fleet->bytes +=
		JH_FRAME_HEADER_BYTES + jh__frame__get_packed_size(frame) + TCP_OVERHEAD_BYTES;
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
		message_t *message;

		fleet->refutation_count += action->type == JH_MEMBERSHIP_REFUTED;
		fleet->view_count[vm] += action->type == JH_MEMBERSHIP_PUBLISH_VIEW;
		if (action->type != JH_MEMBERSHIP_SEND_PROBE &&
		    action->type != JH_MEMBERSHIP_SEND_ACK)
			continue;
		fleet_count_bytes(fleet, action);
		message = g_new0(message_t, 1);
		message->deliver_us = fleet->now_us + LATENCY_US;
		message->from = fleet->names[vm];
		message->to =
			GPOINTER_TO_UINT(g_hash_table_lookup(fleet->index_by_name, action->to));
		message->action = *action;
		if (fleet->is_partitioned[vm] || fleet->is_partitioned[message->to] ||
		    fleet->is_stopped[message->to] || fleet->side[vm] != fleet->side[message->to] ||
		    g_rand_double(fleet->random) < fleet->loss_rate)
			g_free(message);
		else
			g_queue_push_tail(&fleet->messages, message);
	}
}

static void fleet_deliver(fleet_t *fleet, message_t *message)
{
	const jh_membership_event_t event = {
		.type = message->action.type == JH_MEMBERSHIP_SEND_PROBE ?
				JH_MEMBERSHIP_PROBE_RECEIVED :
				JH_MEMBERSHIP_ACK_RECEIVED,
		.from = message->from,
		.sequence = message->action.sequence,
		.target = message->action.target,
		.live_digest = message->action.live_digest,
		.updates = message->action.updates,
		.update_count = message->action.update_count,
	};

	fleet->now_us = MAX(fleet->now_us, message->deliver_us);
	if (!fleet->is_stopped[message->to])
		fleet_decide(fleet, message->to, &event);
	g_free(message);
}

/* Delivers the messages that are due; those to a paused VM wait, as in its sockets. */
static void fleet_deliver_due(fleet_t *fleet, int64_t until_us)
{
	GQueue waiting = G_QUEUE_INIT;
	message_t *message;

	while ((message = g_queue_peek_head(&fleet->messages)) && message->deliver_us <= until_us) {
		g_queue_pop_head(&fleet->messages);
		if (fleet->paused_until_us[message->to] > message->deliver_us)
			g_queue_push_tail(&waiting, message);
		else
			fleet_deliver(fleet, message);
	}
	while ((message = g_queue_pop_tail(&waiting))) {
		message->deliver_us = MAX(message->deliver_us, until_us);
		g_queue_push_head(&fleet->messages, message);
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
			if (!fleet->is_stopped[i] && fleet->paused_until_us[i] <= next_us)
				fleet_decide(fleet, i, &tick);
		}
	}
}

static void fleet_apply_list(fleet_t *fleet, const GPtrArray *list)
{
	const jh_membership_event_t event = { .type = JH_MEMBERSHIP_LIST_READ, .list = list };
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
	fleet->index_by_name = g_hash_table_new(NULL, NULL);
	fleet->actions = g_array_new(FALSE, FALSE, sizeof(jh_membership_action_t));
	g_queue_init(&fleet->messages);
	for (i = 0; i < count; i++) {
		fleet->vms[i] = jh_membership_new(g_ptr_array_index(list, i));
		fleet->names[i] = g_intern_string(((jh_vm_t *)g_ptr_array_index(list, i))->name);
		g_hash_table_insert(fleet->index_by_name, (gpointer)fleet->names[i],
				    GUINT_TO_POINTER(i));
	}
	fleet_apply_list(fleet, list);
	g_ptr_array_free(list, TRUE);
	fleet_run(fleet, 3000 * MS);
	return fleet;
}

static void fleet_free(fleet_t *fleet)
{
	unsigned i;

	for (i = 0; i < fleet->count; i++)
		jh_membership_free(fleet->vms[i]);
	g_queue_clear_full(&fleet->messages, g_free);
	g_hash_table_destroy(fleet->index_by_name);
	g_array_free(fleet->actions, TRUE);
	g_rand_free(fleet->random);
	g_free(fleet);
}

/* Return: state of @vm in the view of @observer, JH_VM_DEAD if it is not in the view. */
static jh_vm_state_t published_state(const fleet_t *fleet, unsigned observer, unsigned vm)
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

static unsigned count_observers(const fleet_t *fleet, unsigned vm, jh_vm_state_t state)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < fleet->count; i++)
		count += i != vm && !fleet->is_stopped[i] && published_state(fleet, i, vm) == state;
	return count;
}

/* Return: time until all other VMs publish @state for @vm, -1 if it exceeds @limit_us. */
static int64_t wait_for_state(fleet_t *fleet, unsigned vm, jh_vm_state_t state, int64_t limit_us)
{
	int64_t start_us = fleet->now_us;

	while (fleet->now_us - start_us < limit_us) {
		fleet_run(fleet, TICK_US);
		if (count_observers(fleet, vm, state) == fleet->count - 1)
			return fleet->now_us - start_us;
	}
	return -1;
}

START_TEST(test_stopped_vm_is_declared_dead)
{
	int64_t worst_us = 0;
	int64_t sum_us = 0;
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++) {
		fleet_t *fleet = fleet_new(7, seed);
		int64_t detected_us;

		fleet_run(fleet, g_rand_int_range(fleet->random, 0, 1000) * MS);
		fleet->is_stopped[seed % 7] = true;
		detected_us = wait_for_state(fleet, seed % 7, JH_VM_DEAD, 3000 * MS);
		ck_assert_msg(detected_us >= 0, "seed %u", seed);
		worst_us = MAX(worst_us, detected_us);
		sum_us += detected_us;
		fleet_free(fleet);
	}
	printf("7 VMs: dead everywhere after %d ms on average, %d ms at most (seeds 1 to 100)\n",
	       (int)(sum_us / 100 / MS), (int)(worst_us / MS));
	fflush(stdout);
}
END_TEST

START_TEST(test_paused_vm_refutes_its_death)
{
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++) {
		fleet_t *fleet = fleet_new(7, seed);
		unsigned i;

		fleet->paused_until_us[3] = fleet->now_us + 2500 * MS;
		fleet_run(fleet, 2400 * MS);
		ck_assert_msg(count_observers(fleet, 3, JH_VM_DEAD) == 6, "seed %u", seed);
		/* From the end of its pause until its refutation, the VM publishes itself as
		 * suspect. */
		for (i = 0; i < 40 && fleet->refutation_count == 0; i++) {
			fleet_run(fleet, TICK_US);
			if (fleet->paused_until_us[3] < fleet->now_us &&
			    fleet->refutation_count == 0)
				ck_assert_int_eq(published_state(fleet, 3, 3), JH_VM_SUSPECT);
		}
		ck_assert_msg(fleet->refutation_count > 0, "seed %u", seed);
		fleet_run(fleet, 1500 * MS);
		ck_assert_msg(count_observers(fleet, 3, JH_VM_LIVE) == 6, "seed %u", seed);
		ck_assert_int_eq(published_state(fleet, 3, 3), JH_VM_LIVE);
		fleet_free(fleet);
	}
}
END_TEST

START_TEST(test_message_loss_leaves_all_live)
{
	uint32_t seed;

	for (seed = 1; seed <= 50; seed++) {
		fleet_t *fleet = fleet_new(7, seed);
		unsigned vm;

		fleet->loss_rate = 0.05;
		fleet_run(fleet, 20000 * MS);
		fleet->loss_rate = 0;
		fleet_run(fleet, 3000 * MS);
		for (vm = 0; vm < 7; vm++)
			ck_assert_msg(count_observers(fleet, vm, JH_VM_LIVE) == 6, "seed %u vm %u",
				      seed, vm);
		fleet_free(fleet);
	}
}
END_TEST

START_TEST(test_vm_is_live_after_partition)
{
	uint32_t seed;

	for (seed = 1; seed <= 50; seed++) {
		fleet_t *fleet = fleet_new(7, seed);

		fleet->is_partitioned[2] = true;
		fleet_run(fleet, 10000 * MS);
		ck_assert_uint_eq(count_observers(fleet, 2, JH_VM_DEAD), 6);
		fleet->is_partitioned[2] = false;
		ck_assert_msg(wait_for_state(fleet, 2, JH_VM_LIVE, 20000 * MS) >= 0, "seed %u",
			      seed);
		fleet_free(fleet);
	}
}
END_TEST

START_TEST(test_stale_list_revives_no_vm)
{
	fleet_t *fleet = fleet_new(7, 1);
	GPtrArray *list = list_new(7);

	fleet->is_stopped[5] = true;
	fleet_run(fleet, 3000 * MS);
	fleet_apply_list(fleet, list);
	ck_assert_uint_eq(count_observers(fleet, 5, JH_VM_DEAD), 6);
	/* A VM that the list does not contain yet is known from its own messages. */
	g_ptr_array_remove_index(list, 4);
	fleet_apply_list(fleet, list);
	fleet_run(fleet, 1000 * MS);
	ck_assert_uint_eq(count_observers(fleet, 4, JH_VM_LIVE), 5);
	g_ptr_array_free(list, TRUE);
	fleet_free(fleet);
}
END_TEST

/* The list corrects the address of a VM from which no message has arrived yet. */
START_TEST(test_corrected_address_is_applied)
{
	fleet_t *fleet = fleet_new(2, 1);
	GPtrArray *list = list_new(3);
	GPtrArray *view;
	jh_vm_t *absent = g_ptr_array_index(list, 2);

	/* The VM is not simulated: messages to it are dropped. */
	g_hash_table_insert(fleet->index_by_name, (gpointer)g_intern_string(absent->name),
			    GUINT_TO_POINTER(2));
	fleet->is_stopped[2] = true;
	fleet_apply_list(fleet, list);
	fleet_run(fleet, 4000 * MS);
	ck_assert_int_eq(jh_membership_state(fleet->vms[0], absent->name), JH_VM_DEAD);
	absent->port = 7001;
	fleet_apply_list(fleet, list);
	ck_assert_int_eq(jh_membership_state(fleet->vms[0], absent->name), JH_VM_LIVE);
	view = jh_membership_view(fleet->vms[0]);
	ck_assert_uint_eq(((jh_vm_t *)g_ptr_array_index(view, 2))->port, 7001);
	g_ptr_array_set_free_func(view, jh_vm_free);
	g_ptr_array_free(view, TRUE);
	g_ptr_array_free(list, TRUE);
	fleet_free(fleet);
}
END_TEST

START_TEST(test_departing_vm_is_published)
{
	const jh_membership_event_t drain = { .type = JH_MEMBERSHIP_DRAIN_STARTED };
	fleet_t *fleet = fleet_new(7, 1);
	GPtrArray *list = list_new(7);

	/* Announced by the VM itself: all VMs publish it within a second. */
	fleet_decide(fleet, 1, &drain);
	ck_assert_int_ge(wait_for_state(fleet, 1, JH_VM_DEPARTING, 1000 * MS), 0);
	ck_assert_int_eq(published_state(fleet, 1, 1), JH_VM_DEPARTING);
	/* Marked in the platform's list. */
	((jh_vm_t *)g_ptr_array_index(list, 6))->state = JH_VM_DEPARTING;
	fleet_apply_list(fleet, list);
	ck_assert_uint_eq(count_observers(fleet, 6, JH_VM_DEPARTING), 6);
	ck_assert_int_eq(published_state(fleet, 6, 6), JH_VM_DEPARTING);
	g_ptr_array_free(list, TRUE);
	fleet_free(fleet);
}
END_TEST

/* The restarted VM has the same name and begins with the lowest incarnation again. */
START_TEST(test_restarted_vm_is_live_again)
{
	fleet_t *fleet = fleet_new(7, 1);
	jh_vm_t *vm = vm_new(3);
	GPtrArray *list = list_new(7);

	fleet->paused_until_us[3] = fleet->now_us + 2000 * MS;
	fleet_run(fleet, 4000 * MS);
	fleet->is_stopped[3] = true;
	fleet_run(fleet, 3000 * MS);
	ck_assert_uint_eq(count_observers(fleet, 3, JH_VM_DEAD), 6);
	jh_membership_free(fleet->vms[3]);
	fleet->vms[3] = jh_membership_new(vm);
	fleet->is_stopped[3] = false;
	fleet_apply_list(fleet, list);
	ck_assert_int_ge(wait_for_state(fleet, 3, JH_VM_LIVE, 2000 * MS), 0);
	jh_vm_free(vm);
	g_ptr_array_free(list, TRUE);
	fleet_free(fleet);
}
END_TEST

static bool detects_all_stopped(const fleet_t *fleet, unsigned observer)
{
	unsigned i;

	for (i = 0; i < fleet->count; i++) {
		if (fleet->is_stopped[i] &&
		    jh_membership_state(fleet->vms[observer], fleet->names[i]) != JH_VM_DEAD)
			return false;
	}
	return true;
}

/* A data centre with a seventh of the VMs is lost; no other VM is declared dead. */
START_TEST(test_lost_data_centre_is_declared_dead)
{
	fleet_t *fleet = fleet_new(210, 1);
	int64_t start_us = fleet->now_us;
	unsigned complete_observers = 0;
	unsigned i;

	for (i = 0; i < fleet->count; i += 7)
		fleet->is_stopped[i] = true;
	while (complete_observers < 180 && fleet->now_us - start_us < 20000 * MS) {
		fleet_run(fleet, TICK_US);
		complete_observers = 0;
		for (i = 0; i < fleet->count; i++)
			complete_observers +=
				!fleet->is_stopped[i] && detects_all_stopped(fleet, i);
	}
	printf("210 VMs, 30 lost at once: dead everywhere after %d ms\n",
	       (int)((fleet->now_us - start_us) / MS));
	fflush(stdout);
	ck_assert_uint_eq(complete_observers, 180);
	for (i = 0; i < fleet->count; i++) {
		if (!fleet->is_stopped[i])
			ck_assert_uint_eq(count_observers(fleet, i, JH_VM_DEAD), 0);
	}
	fleet_free(fleet);
}
END_TEST

START_TEST(test_traffic_does_not_grow_with_fleet)
{
	static const unsigned sizes[] = { 7, 70, 680 };
	double rates[G_N_ELEMENTS(sizes)];
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		fleet_t *fleet = fleet_new(sizes[i], 1);
		uint64_t before;
		int64_t detected_us;

		fleet_run(fleet, 5000 * MS);
		before = fleet->bytes;
		fleet_run(fleet, 5000 * MS);
		/* Each byte sent is also received. */
		rates[i] = 2.0 * (double)(fleet->bytes - before) / 5 / sizes[i];
		fleet->is_stopped[sizes[i] / 2] = true;
		detected_us = wait_for_state(fleet, sizes[i] / 2, JH_VM_DEAD, 5000 * MS);
		printf("%u VMs: %.0f bytes/s sent and received by each, dead everywhere after %d ms\n",
		       sizes[i], rates[i], (int)(detected_us / MS));
		fflush(stdout);
		ck_assert_int_ge(detected_us, 0);
		fleet_free(fleet);
	}
	ck_assert(rates[2] < 18000);
	ck_assert(rates[2] < 1.5 * rates[1]);
}
END_TEST

/*
 * Load: 195 VMs, of which three fifths are split off and come back. Every change was published by
 * itself, up to 60 a second, and each view is copied and compared whole by several tasks: the small
 * VMs had no processor time left for callers or for probes, which changed the view again.
 */
START_TEST(test_storm_of_changes_publishes_few_views)
{
	fleet_t *fleet = fleet_new(195, 1);
	unsigned before[MAX_VMS];
	unsigned second;
	unsigned i;

	for (i = 0; i < fleet->count; i++)
		fleet->side[i] = i % 5 < 3;
	for (second = 0; second < 12; second++) {
		if (second == 7)
			memset(fleet->side, 0, sizeof(fleet->side));
		memcpy(before, fleet->view_count, sizeof(before));
		fleet_run(fleet, 1000 * MS);
		for (i = 0; i < fleet->count; i++)
			ck_assert_uint_le(fleet->view_count[i] - before[i], 11);
	}
	fleet_free(fleet);
}
END_TEST

static unsigned count_wrong_views(const fleet_t *fleet)
{
	unsigned count = 0;
	unsigned i;
	unsigned k;

	for (i = 0; i < fleet->count; i++) {
		for (k = 0; k < fleet->count; k++)
			count += jh_membership_state(fleet->vms[i], fleet->names[k]) != JH_VM_LIVE;
	}
	return count;
}

/*
 * Load: three fifths of 195 VMs are split off for 7 s and come back. The updates that say so passed
 * by the VMs that were still held for dead: some VMs held others for dead for 40 s, and a leader
 * removes from the list whom it holds for dead for 5.2 s.
 */
START_TEST(test_views_agree_soon_after_a_split)
{
	uint32_t seed;

	for (seed = 1; seed <= 3; seed++) {
		fleet_t *fleet = fleet_new(195, seed);
		unsigned i;

		for (i = 0; i < fleet->count; i++)
			fleet->side[i] = i % 5 < 3;
		fleet_run(fleet, 7000 * MS);
		memset(fleet->side, 0, sizeof(fleet->side));
		fleet_run(fleet, 5000 * MS);
		ck_assert_uint_eq(count_wrong_views(fleet), 0);
		fleet_free(fleet);
	}
}
END_TEST

/*
 * Load: a VM whose processor is used up runs its timers 0.4 s late and reads acks after them. It
 * took its own lateness for the silence of others and declared them suspect.
 */
START_TEST(test_late_vm_suspects_no_other)
{
	fleet_t *fleet = fleet_new(20, 1);
	unsigned round;
	unsigned i;

	for (round = 0; round < 30; round++) {
		fleet->paused_until_us[3] = fleet->now_us + 400 * MS;
		fleet_run(fleet, 450 * MS);
		for (i = 0; i < fleet->count; i++) {
			jh_vm_state_t state = jh_membership_state(fleet->vms[3], fleet->names[i]);

			ck_assert_msg(i == 3 || state == JH_VM_LIVE, "round %u vm %u state %d",
				      round, i, state);
		}
	}
	fleet_free(fleet);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("membership");
	TCase *tcase = tcase_create("fleet");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 240);
	tcase_add_test(tcase, test_stopped_vm_is_declared_dead);
	tcase_add_test(tcase, test_paused_vm_refutes_its_death);
	tcase_add_test(tcase, test_message_loss_leaves_all_live);
	tcase_add_test(tcase, test_vm_is_live_after_partition);
	tcase_add_test(tcase, test_stale_list_revives_no_vm);
	tcase_add_test(tcase, test_corrected_address_is_applied);
	tcase_add_test(tcase, test_departing_vm_is_published);
	tcase_add_test(tcase, test_restarted_vm_is_live_again);
	tcase_add_test(tcase, test_lost_data_centre_is_declared_dead);
	tcase_add_test(tcase, test_traffic_does_not_grow_with_fleet);
	tcase_add_test(tcase, test_storm_of_changes_publishes_few_views);
	tcase_add_test(tcase, test_views_agree_soon_after_a_split);
	tcase_add_test(tcase, test_late_vm_suspects_no_other);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
