#include "fleet.h"

#include <math.h>

#define VM_RESTART_US 300000
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
	EVENT_GIVE_BACK,
	EVENT_CRASH,
	EVENT_RESTART,
	EVENT_FREEZE,
	EVENT_SERVER_VIEW,
	EVENT_HOT_VM_CHANGE,
	EVENT_VMS_REMOVE,
	EVENT_LOSS,
	EVENT_CONFIG,
	EVENT_SHARE,
	EVENT_WARM_UP_END,
} event_kind_t;

typedef struct event {
	int64_t at_us;
	/* Orders events that are due at the same time. */
	uint64_t sequence;
	event_kind_t kind;
	unsigned vm;
	/* EVENT_ASK and EVENT_GRANT: index of the VM that sent the message. */
	unsigned sender_vm;
	/*
	 * EVENT_TICK: number of the tick. EVENT_SERVER_VIEW: index of the quota server's VM plus 1,
	 * or 0 for a random VM. EVENT_CRASH: 0 if @vm crashes, 1 if the quota server's VM crashes.
	 * EVENT_REQUEST: number of earlier attempts. EVENT_GIVE_BACK: tag of the request.
	 */
	uint64_t argument;
	/* Boot id of the instance that granted the request or for which the event is. */
	uint64_t boot;
	jh_quota_ask_t ask;
	jh_quota_grant_t grant;
} event_t;

typedef struct vm {
	bool is_up;
	/* The VM never starts again. */
	bool is_removed;
	uint64_t boot;
	/* Time of its clock at which it started; set after a loss only. */
	int64_t started_us;
	/* NULL after a loss while the VM does not know the team yet. */
	jh_quota_client_t *client;
	jh_quota_server_t *server;
	unsigned server_vm;
	int64_t frozen_until_us;
	int64_t clock_offset_us;
	int64_t drift_ppm;
	/* Number of the newest scheduled tick; earlier ticks are ignored. */
	uint64_t newest_tick;
} vm_t;

/*
 * Token bucket in real time. It counts millionths of an amount, because a rate per second times
 * microseconds is a whole number of them, so that the bucket is exact.
 */
typedef struct bucket {
	__int128 level_units;
	int64_t refilled_at_us;
} bucket_t;

typedef struct fleet {
	const fleet_options_t *options;
	GRand *rand;
	GSequence *events;
	uint64_t sequence;
	int64_t now_us;
	vm_t *vms;
	unsigned hot_vm;
	uint64_t next_boot;
	/* Pays for each granted request; its level is negative while the limit is exceeded. */
	bucket_t limit_bucket;
	/* Decides for each request when it arrives whether it is within the rate. */
	bucket_t ideal_bucket;
	GArray *requests_by_tag;
	fleet_result_t result;
} fleet_t;

typedef struct fleet_request {
	int64_t arrived_us;
	/* Whether the ideal bucket granted it immediately. */
	bool is_within_rate;
	/* Number of earlier attempts of the same operation. */
	unsigned attempts;
} fleet_request_t;

/* Token buckets */

#define BUCKET_UNITS_PER_AMOUNT 1000000

static void bucket_refill(bucket_t *bucket, const jh_quota_limit_t *limit, int64_t now_us)
{
	__int128 max_level = (__int128)limit->burst * BUCKET_UNITS_PER_AMOUNT;

	bucket->level_units += (__int128)limit->rate * (now_us - bucket->refilled_at_us);
	bucket->level_units = MIN(bucket->level_units, max_level);
	bucket->refilled_at_us = now_us;
}

static bool bucket_take(bucket_t *bucket, const jh_quota_limit_t *limit, int64_t now_us)
{
	const __int128 request_cost = (__int128)JH_QUOTA_REQUEST * BUCKET_UNITS_PER_AMOUNT;

	bucket_refill(bucket, limit, now_us);
	if (bucket->level_units < request_cost)
		return false;
	bucket->level_units -= request_cost;
	return true;
}

/*
 * Records a granted request. The bucket falls below zero if and only if the grants of some time
 * window exceed the limit.
 */
static void grant_check_limit(fleet_t *fleet)
{
	bucket_refill(&fleet->limit_bucket, &fleet->options->limit, fleet->now_us);
	fleet->limit_bucket.level_units -= (__int128)JH_QUOTA_REQUEST * BUCKET_UNITS_PER_AMOUNT;
	if (fleet->limit_bucket.level_units < 0)
		fleet->result.excess = MAX(
			fleet->result.excess,
			(int64_t)(-fleet->limit_bucket.level_units / BUCKET_UNITS_PER_AMOUNT) + 1);
}

/* Events */

static gint event_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	const event_t *left = a;
	const event_t *right = b;

	(void)data;
	if (left->at_us != right->at_us)
		return left->at_us < right->at_us ? -1 : 1;
	return left->sequence < right->sequence ? -1 : left->sequence > right->sequence;
}

static void event_schedule_at(fleet_t *fleet, const event_t *event, int64_t at_us)
{
	event_t *copy = g_memdup2(event, sizeof(*event));

	copy->at_us = at_us;
	copy->sequence = fleet->sequence++;
	g_sequence_insert_sorted(fleet->events, copy, event_compare, NULL);
}

static void event_schedule_after(fleet_t *fleet, event_kind_t kind, unsigned vm, int64_t after_us)
{
	const event_t event = { .kind = kind, .vm = vm };

	event_schedule_at(fleet, &event, fleet->now_us + MAX(after_us, 1));
}

/* Time until the next event of a Poisson process. */
static int64_t random_interval_us(fleet_t *fleet, double mean_us)
{
	return (int64_t)(-log(1.0 - g_rand_double(fleet->rand)) * mean_us);
}

static bool random_chance(fleet_t *fleet, unsigned percent)
{
	return (unsigned)g_rand_int_range(fleet->rand, 0, 100) < percent;
}

static void message_send(fleet_t *fleet, const event_t *event)
{
	const fleet_options_t *options = fleet->options;
	unsigned copies = random_chance(fleet, options->loss_percent) ? 0 : 1;

	fleet->result.messages++;
	copies += random_chance(fleet, options->duplicate_percent);
	while (copies-- > 0) {
		int64_t delay_us = (int64_t)(options->delay_us * (1 + g_rand_double(fleet->rand)));

		if (options->duplicate_percent > 0 && random_chance(fleet, SLOW_MESSAGE_PERCENT))
			delay_us *= SLOW_MESSAGE_FACTOR;
		event_schedule_at(fleet, event, fleet->now_us + delay_us);
	}
}

/* VMs */

static int64_t vm_clock_us(const fleet_t *fleet, const vm_t *vm)
{
	return fleet->now_us + fleet->now_us * vm->drift_ppm / 1000000 + vm->clock_offset_us;
}

static bool is_owner(const fleet_options_t *options, unsigned vm_index)
{
	return options->owners == 0 || vm_index >= options->vms - options->owners;
}

/* The caller of a refused request retries it or gives up. */
static void retry_schedule(fleet_t *fleet, const fleet_request_t *request)
{
	const fleet_options_t *options = fleet->options;
	const event_t retry = { .kind = EVENT_REQUEST, .argument = request->attempts + 1 };

	if (request->attempts >= options->retries) {
		fleet->result.failed_operations++;
		return;
	}
	event_schedule_at(fleet, &retry,
			  fleet->now_us + g_rand_int_range(fleet->rand,
							   (gint32)options->min_retry_us,
							   (gint32)options->max_retry_us));
}

/* Counts a reply by the time since the VMs' restart after a loss. */
static void bin_count(fleet_t *fleet, bool is_refused)
{
	const fleet_options_t *options = fleet->options;
	int64_t since_us = fleet->now_us - options->loss_at_us - options->away_us;
	int64_t bin = since_us / FLEET_BIN_US;

	if (options->loss_at_us == 0 || since_us < 0 || bin >= FLEET_BINS)
		return;
	fleet->result.bin_requests[bin]++;
	fleet->result.bin_refused[bin] += is_refused;
}

static void refusal_handle(fleet_t *fleet, const fleet_request_t *request,
			   jh_quota_refusal_t reason)
{
	bin_count(fleet, true);
	fleet->result.refused_by_reason[reason]++;
	fleet->result.refused++;
	fleet->result.wrongful_refusals += request->is_within_rate;
	retry_schedule(fleet, request);
}

/* The granted request runs, or it is refused later without having run. */
static void granted_request_run(fleet_t *fleet, unsigned vm_index, uint64_t tag)
{
	const fleet_options_t *options = fleet->options;
	const fleet_request_t *request =
		&g_array_index(fleet->requests_by_tag, fleet_request_t, tag);
	const event_t event = { .kind = EVENT_GIVE_BACK,
				.vm = vm_index,
				.argument = tag,
				.boot = fleet->vms[vm_index].boot };

	if (options->give_back_percent > 0 && random_chance(fleet, options->give_back_percent)) {
		event_schedule_at(fleet, &event,
				  fleet->now_us +
					  g_rand_int_range(fleet->rand, 1,
							   (gint32)options->max_give_back_us));
		if (!options->give_back_after_run)
			return;
	}
	bin_count(fleet, false);
	fleet->result.granted++;
	fleet->result.waited += request->arrived_us < fleet->now_us;
	grant_check_limit(fleet);
}

static void actions_run(fleet_t *fleet, unsigned vm_index, GArray *actions)
{
	const vm_t *vm = &fleet->vms[vm_index];
	unsigned i;

	for (i = 0; i < actions->len; i++) {
		const jh_quota_action_t *action = &g_array_index(actions, jh_quota_action_t, i);
		const fleet_request_t *request;
		event_t event = { .kind = EVENT_ASK, .vm = vm->server_vm, .sender_vm = vm_index };

		if (action->kind == JH_QUOTA_ASK) {
			event.ask = action->ask;
			message_send(fleet, &event);
			continue;
		}
		request = &g_array_index(fleet->requests_by_tag, fleet_request_t, action->tag);
		if (action->granted)
			granted_request_run(fleet, vm_index, action->tag);
		else
			refusal_handle(fleet, request, action->refusal);
	}
	g_array_free(actions, TRUE);
}

static GArray *actions_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(jh_quota_action_t));
}

static void vm_tick(fleet_t *fleet, unsigned vm_index)
{
	vm_t *vm = &fleet->vms[vm_index];
	GArray *actions = actions_new();
	int64_t local_us = vm_clock_us(fleet, vm);
	int64_t next_us = jh_quota_client_tick(vm->client, local_us, actions);
	const event_t event = { .kind = EVENT_TICK, .vm = vm_index, .argument = ++vm->newest_tick };

	actions_run(fleet, vm_index, actions);
	event_schedule_at(fleet, &event, fleet->now_us + CLAMP(next_us - local_us, 1, MAX_TICK_US));
}

/* Makes the client of a VM that started at @started_us of its clock and knows the team now. */
static void client_start(fleet_t *fleet, unsigned vm_index, int64_t started_us)
{
	const fleet_options_t *options = fleet->options;
	vm_t *vm = &fleet->vms[vm_index];

	vm->client = jh_quota_client_new(&options->policy, vm->boot, started_us);
	jh_quota_client_set_limit(vm->client, &options->limit, vm_clock_us(fleet, vm));
	jh_quota_client_set_vms(vm->client, options->vms);
	jh_quota_client_set_server_known(vm->client, true);
}

static void share_start(fleet_t *fleet, unsigned vm_index)
{
	const fleet_options_t *options = fleet->options;
	vm_t *vm = &fleet->vms[vm_index];

	if (is_owner(options, vm_index))
		jh_quota_client_set_share(
			vm->client,
			JH_QUOTA_PARTS / (options->owners ? options->owners : options->vms),
			vm_clock_us(fleet, vm));
	vm_tick(fleet, vm_index);
}

/* Starts a VM after the loss of many: what it must know arrives in steps. */
static void vm_start_after_loss(fleet_t *fleet, unsigned vm_index)
{
	const fleet_options_t *options = fleet->options;
	const event_t server_view = { .kind = EVENT_SERVER_VIEW, .vm = vm_index, .argument = 1 };
	vm_t *vm = &fleet->vms[vm_index];
	event_t config = { .kind = EVENT_CONFIG, .vm = vm_index };

	vm->is_up = true;
	vm->boot = fleet->next_boot++;
	vm->started_us = vm_clock_us(fleet, vm);
	config.boot = vm->boot;
	if (options->view_delay_us > 0) {
		vm->server_vm = (unsigned)g_rand_int_range(fleet->rand, 0, (gint32)options->vms);
		event_schedule_at(fleet, &server_view, fleet->now_us + options->view_delay_us);
	}
	event_schedule_at(fleet, &config, fleet->now_us + options->config_delay_us);
}

static void on_config(fleet_t *fleet, const event_t *event)
{
	const fleet_options_t *options = fleet->options;
	vm_t *vm = &fleet->vms[event->vm];
	int64_t share_us = (int64_t)(options->share_delay_us * (1 + g_rand_double(fleet->rand)));
	event_t share = { .kind = EVENT_SHARE, .vm = event->vm, .boot = event->boot };
	int64_t started_us;

	if (!vm->is_up || vm->boot != event->boot)
		return;
	started_us = options->wait_from_config ? vm_clock_us(fleet, vm) : vm->started_us;
	if (options->skip_lease_wait)
		started_us -= 2 * options->policy.lease_us;
	client_start(fleet, event->vm, started_us);
	event_schedule_at(fleet, &share,
			  fleet->now_us + MAX(share_us - options->config_delay_us, 0));
	vm_tick(fleet, event->vm);
}

static void vm_start(fleet_t *fleet, unsigned vm_index)
{
	const fleet_options_t *options = fleet->options;
	vm_t *vm = &fleet->vms[vm_index];
	int64_t started_us = vm_clock_us(fleet, vm);

	if (vm->is_removed)
		return;
	vm->is_up = true;
	vm->boot = fleet->next_boot++;
	vm->frozen_until_us = 0;
	/* The first instance has no predecessor whose quota leases could still be valid. */
	if (options->skip_lease_wait || fleet->now_us == 0)
		started_us -= 2 * options->policy.lease_us;
	if (options->loss_at_us > 0 && fleet->now_us >= options->loss_at_us) {
		vm_start_after_loss(fleet, vm_index);
		return;
	}
	client_start(fleet, vm_index, started_us);
	share_start(fleet, vm_index);
}

static void vm_stop(vm_t *vm)
{
	g_clear_pointer(&vm->client, jh_quota_client_free);
	g_clear_pointer(&vm->server, jh_quota_server_free);
	vm->is_up = false;
}

static void vm_crash(fleet_t *fleet, unsigned vm_index)
{
	unsigned next_vm = (vm_index + 1) % fleet->options->vms;
	unsigned i;

	vm_stop(&fleet->vms[vm_index]);
	event_schedule_after(fleet, EVENT_RESTART, vm_index, VM_RESTART_US);
	/* The other VMs notice after 100 to 500 ms each and switch to the next VM. */
	for (i = 0; i < fleet->options->vms; i++) {
		event_t event = { .kind = EVENT_SERVER_VIEW, .vm = i, .argument = next_vm + 1 };

		if (fleet->vms[i].server_vm == vm_index)
			event_schedule_at(fleet, &event,
					  fleet->now_us + 100000 +
						  g_rand_int_range(fleet->rand, 0, 400000));
	}
}

/* Event handlers */

static int64_t choose_wait_us(fleet_t *fleet)
{
	const fleet_options_t *options = fleet->options;

	if (options->max_wait_us <= options->wait_us)
		return options->wait_us;
	return g_rand_int_range(fleet->rand, (gint32)options->wait_us,
				(gint32)options->max_wait_us);
}

static void on_request(fleet_t *fleet, const event_t *event)
{
	const fleet_options_t *options = fleet->options;
	unsigned vm_index = (unsigned)g_rand_int_range(fleet->rand, 0, (gint32)options->vms);
	fleet_request_t request = { .arrived_us = fleet->now_us,
				    .attempts = (unsigned)event->argument };
	GArray *actions;
	vm_t *vm;

	if (request.attempts == 0)
		event_schedule_after(fleet, EVENT_REQUEST, 0,
				     random_interval_us(fleet, 1e6 / options->offered));
	if (random_chance(fleet, options->hot_vm_percent))
		vm_index = fleet->hot_vm;
	vm = &fleet->vms[vm_index];
	/* The load balancer sends no requests to VMs that do not respond. */
	if (!vm->client || fleet->now_us < vm->frozen_until_us) {
		if (options->retries > 0)
			retry_schedule(fleet, &request);
		return;
	}
	request.is_within_rate = bucket_take(&fleet->ideal_bucket, &options->limit, fleet->now_us);
	fleet->result.requests++;
	fleet->result.operations += request.attempts == 0;
	fleet->result.within += request.is_within_rate;
	g_array_append_val(fleet->requests_by_tag, request);
	actions = actions_new();
	jh_quota_client_request(vm->client, fleet->requests_by_tag->len - 1, JH_QUOTA_REQUEST,
				choose_wait_us(fleet), vm_clock_us(fleet, vm), actions);
	actions_run(fleet, vm_index, actions);
	vm_tick(fleet, vm_index);
}

static void on_ask(fleet_t *fleet, const event_t *event)
{
	vm_t *vm = &fleet->vms[event->vm];
	event_t reply = { .kind = EVENT_GRANT, .vm = event->sender_vm, .sender_vm = event->vm };
	char name[16];

	if (!vm->server) {
		vm->server = jh_quota_server_new(&fleet->options->policy,
						 fleet->options->reuse_epoch ? 1 : vm->boot);
		jh_quota_server_set_limit(vm->server, &fleet->options->limit,
					  vm_clock_us(fleet, vm));
	}
	g_snprintf(name, sizeof(name), "vm-%u", event->sender_vm);
	if (jh_quota_server_handle_ask(vm->server, name, &event->ask, vm_clock_us(fleet, vm),
				       &reply.grant))
		message_send(fleet, &reply);
}

static void on_grant(fleet_t *fleet, const event_t *event)
{
	vm_t *vm = &fleet->vms[event->vm];
	GArray *actions = actions_new();

	jh_quota_client_handle_grant(vm->client, &event->grant, vm_clock_us(fleet, vm), actions);
	actions_run(fleet, event->vm, actions);
	vm_tick(fleet, event->vm);
}

static void on_give_back(fleet_t *fleet, const event_t *event)
{
	const fleet_options_t *options = fleet->options;
	vm_t *vm = &fleet->vms[event->vm];

	/* A restarted instance knows nothing of the request. */
	if (vm->boot != event->boot)
		return;
	fleet->result.not_run++;
	if (!options->lose_tokens_not_run)
		jh_quota_client_give_back(vm->client, event->argument, vm_clock_us(fleet, vm));
	if (random_chance(fleet, options->double_give_back_percent))
		jh_quota_client_give_back(vm->client, event->argument, vm_clock_us(fleet, vm));
	retry_schedule(fleet,
		       &g_array_index(fleet->requests_by_tag, fleet_request_t, event->argument));
	vm_tick(fleet, event->vm);
}

static void on_server_view(fleet_t *fleet, const event_t *event)
{
	const fleet_options_t *options = fleet->options;
	vm_t *vm = &fleet->vms[event->vm];

	if (event->argument > 0) {
		vm->server_vm = (unsigned)event->argument - 1;
		return;
	}
	vm->server_vm = (unsigned)g_rand_int_range(fleet->rand, 0, (gint32)options->vms);
	event_schedule_after(fleet, EVENT_SERVER_VIEW, event->vm,
			     random_interval_us(fleet, (double)options->server_view_interval_us));
}

static void on_crash(fleet_t *fleet, const event_t *event)
{
	const fleet_options_t *options = fleet->options;
	bool is_random_crash = event->argument == 0;
	unsigned vm_index = is_random_crash ? event->vm : fleet->vms[fleet->hot_vm].server_vm;
	event_t next = *event;

	if (fleet->vms[vm_index].is_up)
		vm_crash(fleet, vm_index);
	event_schedule_at(
		fleet, &next,
		fleet->now_us + 1 +
			(is_random_crash ?
				 random_interval_us(fleet, (double)options->crash_interval_us) :
				 options->server_crash_interval_us));
}

static void on_freeze(fleet_t *fleet, const event_t *event)
{
	vm_t *vm = &fleet->vms[event->vm];

	vm->frozen_until_us = fleet->now_us + g_rand_int_range(fleet->rand, 1, MAX_FREEZE_US);
	event_schedule_after(fleet, EVENT_FREEZE, event->vm,
			     random_interval_us(fleet, (double)fleet->options->freeze_interval_us));
}

static void on_vms_remove(fleet_t *fleet)
{
	unsigned i;

	for (i = 0; i < fleet->options->dead_vms; i++) {
		vm_crash(fleet, i);
		fleet->vms[i].is_removed = true;
	}
}

static void on_loss(fleet_t *fleet)
{
	const fleet_options_t *options = fleet->options;
	unsigned i;

	for (i = options->vms - options->lost_vms; i < options->vms; i++) {
		vm_stop(&fleet->vms[i]);
		event_schedule_after(fleet, EVENT_RESTART, i,
				     options->away_us +
					     (int64_t)((double)options->restart_spread_us *
						       g_rand_double(fleet->rand)));
	}
}

static bool event_needs_running_vm(const event_t *event)
{
	return event->kind == EVENT_TICK || event->kind == EVENT_ASK ||
	       event->kind == EVENT_GRANT || event->kind == EVENT_GIVE_BACK;
}

static void event_handle(fleet_t *fleet, const event_t *event)
{
	vm_t *vm = &fleet->vms[event->vm];

	if (event_needs_running_vm(event) && !vm->client)
		return;
	if (event_needs_running_vm(event) && fleet->now_us < vm->frozen_until_us) {
		event_schedule_at(fleet, event, vm->frozen_until_us);
		return;
	}
	switch (event->kind) {
	case EVENT_REQUEST:
		on_request(fleet, event);
		break;
	case EVENT_TICK:
		if (event->argument == vm->newest_tick)
			vm_tick(fleet, event->vm);
		break;
	case EVENT_ASK:
		on_ask(fleet, event);
		break;
	case EVENT_GRANT:
		on_grant(fleet, event);
		break;
	case EVENT_GIVE_BACK:
		on_give_back(fleet, event);
		break;
	case EVENT_CRASH:
		on_crash(fleet, event);
		break;
	case EVENT_RESTART:
		if (!vm->is_up)
			vm_start(fleet, event->vm);
		break;
	case EVENT_FREEZE:
		on_freeze(fleet, event);
		break;
	case EVENT_SERVER_VIEW:
		on_server_view(fleet, event);
		break;
	case EVENT_HOT_VM_CHANGE:
		fleet->hot_vm = (fleet->hot_vm + 1) % fleet->options->vms;
		event_schedule_after(fleet, EVENT_HOT_VM_CHANGE, 0,
				     fleet->options->hot_vm_interval_us);
		break;
	case EVENT_VMS_REMOVE:
		on_vms_remove(fleet);
		break;
	case EVENT_LOSS:
		on_loss(fleet);
		break;
	case EVENT_CONFIG:
		on_config(fleet, event);
		break;
	case EVENT_SHARE:
		if (vm->is_up && vm->boot == event->boot)
			share_start(fleet, event->vm);
		break;
	case EVENT_WARM_UP_END:
		fleet->result = (fleet_result_t){ .excess = fleet->result.excess };
		break;
	}
}

/* Start and main loop */

static void faults_schedule(fleet_t *fleet)
{
	const fleet_options_t *options = fleet->options;
	const event_t server_crash = { .kind = EVENT_CRASH, .argument = 1 };
	unsigned i;

	for (i = 0; i < options->vms; i++) {
		if (options->crash_interval_us > 0)
			event_schedule_after(
				fleet, EVENT_CRASH, i,
				random_interval_us(fleet, (double)options->crash_interval_us));
		if (options->freeze_interval_us > 0)
			event_schedule_after(
				fleet, EVENT_FREEZE, i,
				random_interval_us(fleet, (double)options->freeze_interval_us));
		if (options->server_view_interval_us > 0)
			event_schedule_after(
				fleet, EVENT_SERVER_VIEW, i,
				random_interval_us(fleet,
						   (double)options->server_view_interval_us));
	}
	if (options->server_crash_interval_us > 0)
		event_schedule_at(fleet, &server_crash, options->server_crash_interval_us);
	if (options->hot_vm_interval_us > 0)
		event_schedule_after(fleet, EVENT_HOT_VM_CHANGE, 0, options->hot_vm_interval_us);
	if (options->loss_at_us > 0)
		event_schedule_after(fleet, EVENT_LOSS, 0, options->loss_at_us);
	if (options->dead_vms > 0)
		event_schedule_after(fleet, EVENT_VMS_REMOVE, 0, options->run_us / 4);
}

static void fleet_start(fleet_t *fleet)
{
	const fleet_options_t *options = fleet->options;
	unsigned i;

	for (i = 0; i < options->vms; i++) {
		vm_t *vm = &fleet->vms[i];

		if (options->has_clock_drift) {
			vm->drift_ppm = g_rand_int_range(fleet->rand, -JH_QUOTA_DRIFT_PPM,
							 JH_QUOTA_DRIFT_PPM + 1);
			vm->clock_offset_us = g_rand_int_range(fleet->rand, 0, MAX_CLOCK_OFFSET_US);
		}
		vm_start(fleet, i);
	}
	event_schedule_after(fleet, EVENT_REQUEST, 0, 1);
	faults_schedule(fleet);
}

fleet_result_t fleet_run(const fleet_options_t *options)
{
	fleet_t fleet = { .options = options,
			  .rand = g_rand_new_with_seed(options->seed),
			  .events = g_sequence_new(g_free),
			  .vms = g_new0(vm_t, options->vms),
			  .next_boot = 1 };
	const event_t warm_up_end = { .kind = EVENT_WARM_UP_END };
	unsigned i;

	fleet.requests_by_tag = g_array_new(FALSE, FALSE, sizeof(fleet_request_t));
	fleet.limit_bucket.level_units = (__int128)options->limit.burst * BUCKET_UNITS_PER_AMOUNT;
	fleet.ideal_bucket = fleet.limit_bucket;
	fleet_start(&fleet);
	if (options->warm_up_us > 0)
		event_schedule_at(&fleet, &warm_up_end, options->warm_up_us);
	while (!g_sequence_is_empty(fleet.events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(fleet.events);
		event_t event = *(const event_t *)g_sequence_get(first);

		if (event.at_us > options->run_us)
			break;
		g_sequence_remove(first);
		fleet.now_us = event.at_us;
		event_handle(&fleet, &event);
	}
	for (i = 0; i < options->vms; i++)
		vm_stop(&fleet.vms[i]);
	g_sequence_free(fleet.events);
	g_array_free(fleet.requests_by_tag, TRUE);
	g_rand_free(fleet.rand);
	g_free(fleet.vms);
	return fleet.result;
}
