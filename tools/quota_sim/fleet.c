#include "fleet.h"

#include <math.h>

#define RESTART_US 300000
#define MAX_FREEZE_US 3000000
#define MAX_TICK_US 1000000
#define SLOW_MESSAGE_PERCENT 1
#define SLOW_MESSAGE_FACTOR 50
#define MAX_CLOCK_OFFSET_US 1000000000

typedef enum event_kind {
	EVENT_REQUEST,
	EVENT_TICK,
	EVENT_ASK,
	EVENT_GRANT,
	EVENT_CRASH,
	EVENT_START,
	EVENT_FREEZE,
	EVENT_VIEW,
	EVENT_SKEW,
	EVENT_DEATH,
} event_kind_t;

typedef struct event {
	int64_t at_us;
	uint64_t order;
	event_kind_t kind;
	unsigned vm;
	unsigned from;
	uint64_t number;
	jh_quota_ask_t ask;
	jh_quota_grant_t grant;
} event_t;

typedef struct vm {
	bool up;
	bool dead;
	uint64_t boot;
	jh_quota_client_t *client;
	jh_quota_server_t *server;
	unsigned server_vm;
	int64_t frozen_until_us;
	int64_t clock_offset_us;
	int64_t drift_ppm;
	/* Only the newest planned tick counts. */
	uint64_t tick;
} vm_t;

/* A token bucket in real time, in millionths of amounts, so that it is exact. */
typedef struct bucket {
	__int128 level;
	int64_t at_us;
} bucket_t;

typedef struct fleet {
	const fleet_options_t *options;
	GRand *rand;
	GSequence *events;
	uint64_t order;
	int64_t now_us;
	vm_t *vms;
	unsigned hot_vm;
	uint64_t next_boot;
	bucket_t spent;
	bucket_t ideal;
	/* By tag: whether the ideal bucket would have granted it, and when it came. */
	GArray *asked;
	fleet_result_t result;
} fleet_t;

typedef struct asked {
	int64_t at_us;
	bool within;
} asked_t;

/* ---- the limit ---- */

#define BUCKET_UNIT 1000000

static void bucket_fill(bucket_t *bucket, const jh_quota_limit_t *limit, int64_t now_us)
{
	__int128 most = (__int128)limit->burst * BUCKET_UNIT;

	bucket->level += (__int128)limit->rate * (now_us - bucket->at_us);
	bucket->level = MIN(bucket->level, most);
	bucket->at_us = now_us;
}

static bool bucket_take(bucket_t *bucket, const jh_quota_limit_t *limit, int64_t now_us)
{
	const __int128 cost = (__int128)JH_QUOTA_REQUEST * BUCKET_UNIT;

	bucket_fill(bucket, limit, now_us);
	if (bucket->level < cost)
		return false;
	bucket->level -= cost;
	return true;
}

/* A bucket that goes below zero is a window that is over the limit. */
static void spent_add(fleet_t *fleet)
{
	bucket_fill(&fleet->spent, &fleet->options->limit, fleet->now_us);
	fleet->spent.level -= (__int128)JH_QUOTA_REQUEST * BUCKET_UNIT;
	if (fleet->spent.level < 0)
		fleet->result.excess =
			MAX(fleet->result.excess, (int64_t)(-fleet->spent.level / BUCKET_UNIT) + 1);
}

/* ---- events ---- */

static gint event_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	const event_t *left = a;
	const event_t *right = b;

	(void)data;
	if (left->at_us != right->at_us)
		return left->at_us < right->at_us ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

static void event_add(fleet_t *fleet, const event_t *event, int64_t at_us)
{
	event_t *copy = g_memdup2(event, sizeof(*event));

	copy->at_us = at_us;
	copy->order = fleet->order++;
	g_sequence_insert_sorted(fleet->events, copy, event_compare, NULL);
}

static void event_plan(fleet_t *fleet, event_kind_t kind, unsigned vm, int64_t after_us)
{
	const event_t event = { .kind = kind, .vm = vm };

	event_add(fleet, &event, fleet->now_us + MAX(after_us, 1));
}

/* Next in a Poisson process. */
static int64_t interval_us(fleet_t *fleet, double mean_us)
{
	return (int64_t)(-log(1.0 - g_rand_double(fleet->rand)) * mean_us);
}

static bool chance(fleet_t *fleet, unsigned percent)
{
	return (unsigned)g_rand_int_range(fleet->rand, 0, 100) < percent;
}

static void message_send(fleet_t *fleet, const event_t *event)
{
	const fleet_options_t *options = fleet->options;
	unsigned copies = chance(fleet, options->loss_percent) ? 0 : 1;

	fleet->result.messages++;
	copies += chance(fleet, options->copy_percent);
	while (copies-- > 0) {
		int64_t delay_us = (int64_t)(options->delay_us * (1 + g_rand_double(fleet->rand)));

		if (options->copy_percent > 0 && chance(fleet, SLOW_MESSAGE_PERCENT))
			delay_us *= SLOW_MESSAGE_FACTOR;
		event_add(fleet, event, fleet->now_us + delay_us);
	}
}

/* ---- VMs ---- */

static int64_t clock_us(const fleet_t *fleet, const vm_t *vm)
{
	return fleet->now_us + fleet->now_us * vm->drift_ppm / 1000000 + vm->clock_offset_us;
}

static void actions_run(fleet_t *fleet, unsigned number, GArray *actions)
{
	const vm_t *vm = &fleet->vms[number];
	unsigned i;

	for (i = 0; i < actions->len; i++) {
		const jh_quota_action_t *action = &g_array_index(actions, jh_quota_action_t, i);
		const asked_t *asked;
		event_t event = { .kind = EVENT_ASK, .vm = vm->server_vm, .from = number };

		if (action->kind == JH_QUOTA_ASK) {
			event.ask = action->ask;
			message_send(fleet, &event);
			continue;
		}
		asked = &g_array_index(fleet->asked, asked_t, action->tag);
		if (action->granted) {
			fleet->result.granted++;
			fleet->result.waited += asked->at_us < fleet->now_us;
			spent_add(fleet);
		} else if (asked->within) {
			fleet->result.wrongful++;
		}
	}
	g_array_free(actions, TRUE);
}

static GArray *actions_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(jh_quota_action_t));
}

static void vm_tick(fleet_t *fleet, unsigned number)
{
	vm_t *vm = &fleet->vms[number];
	GArray *actions = actions_new();
	int64_t local_us = clock_us(fleet, vm);
	int64_t next_us = jh_quota_client_tick(vm->client, local_us, actions);
	const event_t event = { .kind = EVENT_TICK, .vm = number, .number = ++vm->tick };

	actions_run(fleet, number, actions);
	event_add(fleet, &event, fleet->now_us + CLAMP(next_us - local_us, 1, MAX_TICK_US));
}

static void vm_start(fleet_t *fleet, unsigned number)
{
	const fleet_options_t *options = fleet->options;
	vm_t *vm = &fleet->vms[number];
	int64_t started_us = clock_us(fleet, vm);

	if (vm->dead)
		return;
	vm->up = true;
	vm->boot = fleet->next_boot++;
	vm->frozen_until_us = 0;
	/* Before the first life there was none whose loans could still run. */
	if (options->forget_leases || fleet->now_us == 0)
		started_us -= 2 * options->policy.lease_us;
	vm->client = jh_quota_client_new(&options->policy, vm->boot, started_us);
	jh_quota_client_set_limit(vm->client, &options->limit, clock_us(fleet, vm));
	jh_quota_client_set_share(vm->client, JH_QUOTA_PARTS / options->vms, clock_us(fleet, vm));
	jh_quota_client_set_server_known(vm->client, true);
	vm_tick(fleet, number);
}

static void vm_stop(vm_t *vm)
{
	g_clear_pointer(&vm->client, jh_quota_client_free);
	g_clear_pointer(&vm->server, jh_quota_server_free);
	vm->up = false;
}

static void vm_crash(fleet_t *fleet, unsigned number)
{
	unsigned other = (number + 1) % fleet->options->vms;
	unsigned i;

	vm_stop(&fleet->vms[number]);
	event_plan(fleet, EVENT_START, number, RESTART_US);
	/* The others find out, each in its own time, and go to the next. */
	for (i = 0; i < fleet->options->vms; i++) {
		event_t event = { .kind = EVENT_VIEW, .vm = i, .number = other + 1 };

		if (fleet->vms[i].server_vm == number)
			event_add(fleet, &event,
				  fleet->now_us + 100000 +
					  g_rand_int_range(fleet->rand, 0, 400000));
	}
}

/* ---- what happens ---- */

static void on_request(fleet_t *fleet)
{
	const fleet_options_t *options = fleet->options;
	unsigned number = (unsigned)g_rand_int_range(fleet->rand, 0, (gint32)options->vms);
	asked_t asked = { .at_us = fleet->now_us };
	GArray *actions;
	vm_t *vm;

	event_plan(fleet, EVENT_REQUEST, 0, interval_us(fleet, 1e6 / options->offered));
	if (chance(fleet, options->skew_percent))
		number = fleet->hot_vm;
	vm = &fleet->vms[number];
	/* The balancer sends nothing to VMs that are down. */
	if (!vm->up || fleet->now_us < vm->frozen_until_us)
		return;
	asked.within = bucket_take(&fleet->ideal, &options->limit, fleet->now_us);
	fleet->result.requests++;
	fleet->result.within += asked.within;
	g_array_append_val(fleet->asked, asked);
	actions = actions_new();
	jh_quota_client_request(vm->client, fleet->asked->len - 1, JH_QUOTA_REQUEST,
				options->wait_us, clock_us(fleet, vm), actions);
	actions_run(fleet, number, actions);
	vm_tick(fleet, number);
}

static void on_ask(fleet_t *fleet, const event_t *event)
{
	vm_t *vm = &fleet->vms[event->vm];
	event_t answer = { .kind = EVENT_GRANT, .vm = event->from, .from = event->vm };
	char name[16];

	if (!vm->server) {
		vm->server = jh_quota_server_new(&fleet->options->policy,
						 fleet->options->one_epoch ? 1 : vm->boot);
		jh_quota_server_set_limit(vm->server, &fleet->options->limit, clock_us(fleet, vm));
	}
	g_snprintf(name, sizeof(name), "vm-%u", event->from);
	if (jh_quota_server_handle_ask(vm->server, name, &event->ask, clock_us(fleet, vm),
				       &answer.grant))
		message_send(fleet, &answer);
}

static void on_grant(fleet_t *fleet, const event_t *event)
{
	vm_t *vm = &fleet->vms[event->vm];
	GArray *actions = actions_new();

	jh_quota_client_handle_grant(vm->client, &event->grant, clock_us(fleet, vm), actions);
	actions_run(fleet, event->vm, actions);
	vm_tick(fleet, event->vm);
}

static void on_view(fleet_t *fleet, const event_t *event)
{
	const fleet_options_t *options = fleet->options;
	vm_t *vm = &fleet->vms[event->vm];

	if (event->number > 0) {
		vm->server_vm = (unsigned)event->number - 1;
		return;
	}
	vm->server_vm = (unsigned)g_rand_int_range(fleet->rand, 0, (gint32)options->vms);
	event_plan(fleet, EVENT_VIEW, event->vm, interval_us(fleet, (double)options->view_us));
}

static void on_crash(fleet_t *fleet, const event_t *event)
{
	const fleet_options_t *options = fleet->options;
	bool any = event->number == 0;
	unsigned number = any ? event->vm : fleet->vms[fleet->hot_vm].server_vm;
	event_t next = *event;

	if (fleet->vms[number].up)
		vm_crash(fleet, number);
	event_add(fleet, &next,
		  fleet->now_us + 1 +
			  (any ? interval_us(fleet, (double)options->crash_us) :
				 options->server_crash_us));
}

static void on_freeze(fleet_t *fleet, const event_t *event)
{
	vm_t *vm = &fleet->vms[event->vm];

	vm->frozen_until_us = fleet->now_us + g_rand_int_range(fleet->rand, 1, MAX_FREEZE_US);
	event_plan(fleet, EVENT_FREEZE, event->vm,
		   interval_us(fleet, (double)fleet->options->freeze_us));
}

static void on_death(fleet_t *fleet)
{
	unsigned i;

	for (i = 0; i < fleet->options->dead_vms; i++) {
		vm_crash(fleet, i);
		fleet->vms[i].dead = true;
	}
}

static bool event_needs_vm(const event_t *event)
{
	return event->kind == EVENT_TICK || event->kind == EVENT_ASK || event->kind == EVENT_GRANT;
}

static void event_run(fleet_t *fleet, const event_t *event)
{
	vm_t *vm = &fleet->vms[event->vm];

	if (event_needs_vm(event) && !vm->up)
		return;
	if (event_needs_vm(event) && fleet->now_us < vm->frozen_until_us) {
		event_add(fleet, event, vm->frozen_until_us);
		return;
	}
	switch (event->kind) {
	case EVENT_REQUEST:
		on_request(fleet);
		break;
	case EVENT_TICK:
		if (event->number == vm->tick)
			vm_tick(fleet, event->vm);
		break;
	case EVENT_ASK:
		on_ask(fleet, event);
		break;
	case EVENT_GRANT:
		on_grant(fleet, event);
		break;
	case EVENT_CRASH:
		on_crash(fleet, event);
		break;
	case EVENT_START:
		vm_start(fleet, event->vm);
		break;
	case EVENT_FREEZE:
		on_freeze(fleet, event);
		break;
	case EVENT_VIEW:
		on_view(fleet, event);
		break;
	case EVENT_SKEW:
		fleet->hot_vm = (fleet->hot_vm + 1) % fleet->options->vms;
		event_plan(fleet, EVENT_SKEW, 0, fleet->options->skew_move_us);
		break;
	case EVENT_DEATH:
		on_death(fleet);
		break;
	}
}

/* ---- run ---- */

static void plan_faults(fleet_t *fleet)
{
	const fleet_options_t *options = fleet->options;
	const event_t server_crash = { .kind = EVENT_CRASH, .number = 1 };
	unsigned i;

	for (i = 0; i < options->vms; i++) {
		if (options->crash_us > 0)
			event_plan(fleet, EVENT_CRASH, i,
				   interval_us(fleet, (double)options->crash_us));
		if (options->freeze_us > 0)
			event_plan(fleet, EVENT_FREEZE, i,
				   interval_us(fleet, (double)options->freeze_us));
		if (options->view_us > 0)
			event_plan(fleet, EVENT_VIEW, i,
				   interval_us(fleet, (double)options->view_us));
	}
	if (options->server_crash_us > 0)
		event_add(fleet, &server_crash, options->server_crash_us);
	if (options->skew_move_us > 0)
		event_plan(fleet, EVENT_SKEW, 0, options->skew_move_us);
	if (options->dead_vms > 0)
		event_plan(fleet, EVENT_DEATH, 0, options->run_us / 4);
}

static void plan_start(fleet_t *fleet)
{
	const fleet_options_t *options = fleet->options;
	unsigned i;

	for (i = 0; i < options->vms; i++) {
		vm_t *vm = &fleet->vms[i];

		if (options->drift) {
			vm->drift_ppm = g_rand_int_range(fleet->rand, -JH_QUOTA_DRIFT_PPM,
							 JH_QUOTA_DRIFT_PPM + 1);
			vm->clock_offset_us = g_rand_int_range(fleet->rand, 0, MAX_CLOCK_OFFSET_US);
		}
		vm_start(fleet, i);
	}
	event_plan(fleet, EVENT_REQUEST, 0, 1);
	plan_faults(fleet);
}

fleet_result_t fleet_run(const fleet_options_t *options)
{
	fleet_t fleet = { .options = options,
			  .rand = g_rand_new_with_seed(options->seed),
			  .events = g_sequence_new(g_free),
			  .vms = g_new0(vm_t, options->vms),
			  .next_boot = 1 };
	unsigned i;

	fleet.asked = g_array_new(FALSE, FALSE, sizeof(asked_t));
	fleet.spent.level = (__int128)options->limit.burst * BUCKET_UNIT;
	fleet.ideal = fleet.spent;
	plan_start(&fleet);
	while (!g_sequence_is_empty(fleet.events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(fleet.events);
		event_t event = *(const event_t *)g_sequence_get(first);

		if (event.at_us > options->run_us)
			break;
		g_sequence_remove(first);
		fleet.now_us = event.at_us;
		event_run(&fleet, &event);
	}
	for (i = 0; i < options->vms; i++)
		vm_stop(&fleet.vms[i]);
	g_sequence_free(fleet.events);
	g_array_free(fleet.asked, TRUE);
	g_rand_free(fleet.rand);
	g_free(fleet.vms);
	return fleet.result;
}
