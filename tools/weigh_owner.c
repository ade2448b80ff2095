/* Weighs, in virtual time, two ways to share a database's slots between daemons: one owner that
 * holds all slots and to which the others forward, and a fixed share of slots for each daemon.
 * docs/internals/owner.md quotes its output.
 */
#include "jh_fair_queue.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define DAEMONS 7
#define TEAMS 8
#define SECOND 1000000.0
#define RUN_SECONDS 20.0
#define SERVICE_US 2000.0
#define DEADLINE_US 200000.0
/* Round trips: within a data centre, and between two. */
#define NEAR_US 200.0
#define FAR_US 2000.0
#define DATA_CENTRES 3
#define FLOOD 20.0
#define MAX_SHARE 3

typedef enum event_kind {
	EVENT_ARRIVE,
	EVENT_QUEUE,
	EVENT_AT_DATABASE,
	EVENT_SERVED,
	EVENT_FREE,
} event_kind_t;

typedef struct request {
	unsigned team;
	unsigned daemon;
	double came_us;
	double run_us;
	double started_us;
} request_t;

typedef struct event {
	double at_us;
	event_kind_t kind;
	request_t *request;
	unsigned team;
} event_t;

typedef struct setup {
	const char *name;
	double load;
	/* Part of the requests that enter at the first daemon. */
	double skew;
	unsigned slots;
	/* Statements at a time for each daemon; 0 stands for one owner of all slots. */
	unsigned share;
	/* Statements that the owner sends beyond the slots, to wait at the database. */
	unsigned extra;
	bool flood;
} setup_t;

typedef struct sim {
	const setup_t *setup;
	GRand *random;
	GSequence *events;
	/* One queue with an owner, one a daemon with shares. */
	jh_fair_queue_t *queues[DAEMONS];
	unsigned running[DAEMONS];
	/* The database's own queue. */
	GQueue waiting;
	unsigned busy;
	double now_us;
	GArray *latencies;
	GArray *others;
	unsigned offered[TEAMS];
	unsigned served[TEAMS];
	/* By the teams other than the first. */
	unsigned refused;
} sim_t;

static const char *const team_names[TEAMS] = { "t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7" };

static gint event_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	double left = ((const event_t *)a)->at_us;
	double right = ((const event_t *)b)->at_us;

	(void)data;
	return left < right ? -1 : left > right;
}

static void event_add(sim_t *sim, double in_us, event_kind_t kind, request_t *request,
		      unsigned team)
{
	event_t *event = g_new0(event_t, 1);

	*event = (event_t){ sim->now_us + in_us, kind, request, team };
	g_sequence_insert_sorted(sim->events, event, event_compare, NULL);
}

static double exponential(sim_t *sim, double mean)
{
	return -mean * log(1.0 - g_rand_double(sim->random));
}

/* The database and its owner are in the first data centre, the owner on the first daemon. */
static double trip_us(unsigned daemon)
{
	return daemon % DATA_CENTRES == 0 ? NEAR_US : FAR_US;
}

static unsigned share_of(const setup_t *setup)
{
	return setup->share ? setup->share : setup->slots + setup->extra;
}

static unsigned queue_of(const sim_t *sim, const request_t *request)
{
	return sim->setup->share ? request->daemon : 0;
}

/* ---- events ---- */

static void dispatch(sim_t *sim, unsigned queue)
{
	while (sim->running[queue] < share_of(sim->setup)) {
		uint64_t item = jh_fair_queue_take(sim->queues[queue], (int64_t)sim->now_us);
		request_t *request = (request_t *)(uintptr_t)item;

		if (!request)
			return;
		request->started_us = sim->now_us;
		sim->running[queue]++;
		event_add(sim, trip_us(sim->setup->share ? request->daemon : 0) / 2,
			  EVENT_AT_DATABASE, request, 0);
	}
}

static double team_rate(const setup_t *setup, unsigned team)
{
	double rate = setup->load * setup->slots * SECOND / SERVICE_US / TEAMS;

	return setup->flood && team == 0 ? FLOOD * rate : rate;
}

static void take_arrival(sim_t *sim, unsigned team)
{
	request_t *request = g_new0(request_t, 1);
	bool first = g_rand_double(sim->random) < sim->setup->skew;

	request->team = team;
	request->daemon = first ? 0 : (unsigned)g_rand_int_range(sim->random, 0, DAEMONS);
	request->came_us = sim->now_us;
	request->run_us = exponential(sim, SERVICE_US);
	sim->offered[team]++;
	/* With an owner, entries on other daemons forward. */
	event_add(sim,
		  !sim->setup->share && request->daemon != 0 ? trip_us(request->daemon) / 2 : 0,
		  EVENT_QUEUE, request, team);
	event_add(sim, exponential(sim, SECOND / team_rate(sim->setup, team)), EVENT_ARRIVE, NULL,
		  team);
}

static void take_queue(sim_t *sim, request_t *request)
{
	unsigned queue = queue_of(sim, request);
	double left_us = DEADLINE_US - (sim->now_us - request->came_us);
	jh_fair_admission_t verdict = jh_fair_queue_offer(
		sim->queues[queue], g_intern_static_string(team_names[request->team]), 1.0,
		(uint64_t)(uintptr_t)request, (int64_t)sim->now_us, (int64_t)left_us);

	if (verdict.result != JH_FAIR_QUEUED) {
		sim->refused += request->team != 0;
		g_free(request);
	}
	dispatch(sim, queue);
}

static void database_start(sim_t *sim)
{
	while (sim->busy < sim->setup->slots && sim->waiting.length > 0) {
		request_t *request = g_queue_pop_head(&sim->waiting);

		sim->busy++;
		event_add(sim, request->run_us, EVENT_SERVED, request, 0);
	}
}

static void take_served(sim_t *sim, request_t *request)
{
	sim->busy--;
	database_start(sim);
	event_add(sim, trip_us(sim->setup->share ? request->daemon : 0) / 2, EVENT_FREE, request,
		  0);
}

static void take_free(sim_t *sim, request_t *request)
{
	unsigned queue = queue_of(sim, request);
	double back_us =
		!sim->setup->share && request->daemon != 0 ? trip_us(request->daemon) / 2 : 0;
	double latency_us = sim->now_us + back_us - request->came_us;

	sim->running[queue]--;
	jh_fair_queue_finish(sim->queues[queue], g_intern_static_string(team_names[request->team]),
			     (int64_t)(sim->now_us - request->started_us));
	if (latency_us <= DEADLINE_US) {
		sim->served[request->team]++;
		g_array_append_val(sim->latencies, latency_us);
		if (request->team != 0)
			g_array_append_val(sim->others, latency_us);
	}
	g_free(request);
	dispatch(sim, queue);
}

static void event_take(sim_t *sim, const event_t *event)
{
	switch (event->kind) {
	case EVENT_ARRIVE:
		take_arrival(sim, event->team);
		break;
	case EVENT_QUEUE:
		take_queue(sim, event->request);
		break;
	case EVENT_AT_DATABASE:
		g_queue_push_tail(&sim->waiting, event->request);
		database_start(sim);
		break;
	case EVENT_SERVED:
		take_served(sim, event->request);
		break;
	default:
		take_free(sim, event->request);
	}
}

/* ---- one run ---- */

static gint double_compare(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static double percentile_ms(GArray *values, double part)
{
	if (values->len == 0)
		return 0;
	g_array_sort(values, double_compare);
	return g_array_index(values, double, (guint)(part * (values->len - 1))) / 1000;
}

static void report(const sim_t *sim, int seed)
{
	double worst = 1;
	unsigned offered = 0;
	unsigned i;

	for (i = 1; i < TEAMS; i++)
		worst = MIN(worst, (double)sim->served[i] / sim->offered[i]);
	for (i = 1; i < TEAMS; i++)
		offered += sim->offered[i];
	printf("%-7s share=%u extra=%u slots=%u load=%.1f p50_ms=%6.1f p99_ms=%6.1f others_p99_ms=%6.1f "
	       "others_refused=%.4f worst_team_served=%.4f seed=%d\n",
	       sim->setup->name, sim->setup->share, sim->setup->extra, sim->setup->slots,
	       sim->setup->load, percentile_ms(sim->latencies, 0.5),
	       percentile_ms(sim->latencies, 0.99), percentile_ms(sim->others, 0.99),
	       (double)sim->refused / offered, worst, seed);
}

static void sim_run(const setup_t *setup, int seed)
{
	sim_t sim = { .setup = setup };
	unsigned i;

	sim.random = g_rand_new_with_seed((guint32)seed);
	sim.events = g_sequence_new(g_free);
	sim.latencies = g_array_new(FALSE, FALSE, sizeof(double));
	sim.others = g_array_new(FALSE, FALSE, sizeof(double));
	g_queue_init(&sim.waiting);
	for (i = 0; i < DAEMONS; i++)
		sim.queues[i] = jh_fair_queue_new(share_of(setup), 512);
	for (i = 0; i < TEAMS; i++)
		event_add(&sim, 0, EVENT_ARRIVE, NULL, i);
	while (sim.now_us < RUN_SECONDS * SECOND) {
		GSequenceIter *first = g_sequence_get_begin_iter(sim.events);
		event_t event = *(event_t *)g_sequence_get(first);

		g_sequence_remove(first);
		sim.now_us = event.at_us;
		event_take(&sim, &event);
	}
	report(&sim, seed);
	for (i = 0; i < DAEMONS; i++)
		jh_fair_queue_free(sim.queues[i]);
	g_sequence_free(sim.events);
	g_queue_clear(&sim.waiting);
	g_array_free(sim.latencies, TRUE);
	g_array_free(sim.others, TRUE);
	g_rand_free(sim.random);
}

int main(void)
{
	static const setup_t cases[] = {
		{ .name = "even", .slots = 5, .load = 0.6 },
		{ .name = "even", .slots = 5, .load = 0.8 },
		{ .name = "skewed", .slots = 5, .load = 0.6, .skew = 0.5 },
		{ .name = "flood", .slots = 5, .load = 0.4, .flood = true },
		{ .name = "even", .slots = 2, .load = 0.6 },
		{ .name = "even", .slots = 2, .load = 0.8 },
		{ .name = "skewed", .slots = 2, .load = 0.6, .skew = 0.5 },
		{ .name = "flood", .slots = 2, .load = 0.4, .flood = true },
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		setup_t setup = cases[i];

		for (setup.share = 0; setup.share <= MAX_SHARE; setup.share++)
			sim_run(&setup, 1);
		setup.share = 0;
		setup.extra = 1;
		sim_run(&setup, 1);
	}
	return 0;
}
