/*
 * Compares two ways to share a database's slots between daemons, in virtual time: one owner has all
 * slots and the other daemons forward requests to it, or each daemon has a fixed number of slots.
 * docs/internals/owner.md quotes the output.
 */
#include "jh_fair_queue.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define DAEMONS 7
#define TEAMS 8
#define US_PER_S 1000000.0
#define RUN_SECONDS 20.0
#define SERVICE_US 2000.0
#define DEADLINE_US 200000.0
#define SAME_DC_ROUND_TRIP_US 200.0
#define CROSS_DC_ROUND_TRIP_US 2000.0
#define DATA_CENTRES 3
#define FLOOD_FACTOR 20.0
#define MAX_DAEMON_SLOTS 3

typedef enum event_kind {
	EVENT_ARRIVE,
	EVENT_ENQUEUE,
	EVENT_AT_DATABASE,
	EVENT_EXECUTED,
	EVENT_COMPLETED,
} event_kind_t;

typedef struct request {
	unsigned team;
	unsigned daemon;
	double arrived_us;
	/* Execution time in the database. */
	double service_us;
	/* When the request left its fair queue. */
	double dispatched_us;
} request_t;

typedef struct event {
	double at_us;
	event_kind_t kind;
	request_t *request;
	unsigned team;
} event_t;

typedef struct setup {
	const char *name;
	/* Offered load, relative to what the slots can serve; a flooding team adds to it. */
	double load;
	/* Fraction of the requests that enter at the first daemon; the rest are spread evenly. */
	double first_daemon_ratio;
	unsigned slots;
	/* Statements that each daemon runs at a time; 0: one owner has all slots. */
	unsigned daemon_slots;
	/* Statements that the owner sends in excess of the slots; they wait at the database. */
	unsigned extra_statements;
	/* The first team sends FLOOD_FACTOR times its part of the load. */
	bool has_flood;
} setup_t;

typedef struct sim {
	const setup_t *setup;
	GRand *random;
	GSequence *events;
	/* An owner uses only the first queue; with fixed slots each daemon has its own. */
	jh_fair_queue_t *queues[DAEMONS];
	/* Number of running requests from each queue. */
	unsigned running[DAEMONS];
	/* Statements that wait in the database for one of its slots. */
	GQueue database_queue;
	unsigned busy_slots;
	double now_us;
	/* Latencies of the requests that completed within the deadline. */
	GArray *latencies_us;
	/* The same for teams other than the first, which may flood the queues. */
	GArray *other_latencies_us;
	unsigned offered[TEAMS];
	unsigned served[TEAMS];
	/* Refused requests of teams other than the first. */
	unsigned others_refused;
} sim_t;

static const char *const team_names[TEAMS] = { "t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7" };

static gint event_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	double left = ((const event_t *)a)->at_us;
	double right = ((const event_t *)b)->at_us;

	(void)data;
	return left < right ? -1 : left > right;
}

static void event_schedule(sim_t *sim, double after_us, event_kind_t kind, request_t *request,
			   unsigned team)
{
	event_t *event = g_new0(event_t, 1);

	*event = (event_t){ sim->now_us + after_us, kind, request, team };
	g_sequence_insert_sorted(sim->events, event, event_compare, NULL);
}

/* Return: a random sample of the exponential distribution with this mean */
static double random_exponential(sim_t *sim, double mean)
{
	return -mean * log(1.0 - g_rand_double(sim->random));
}

/*
 * Round trip between a daemon and the owner or the database. The first daemon is the owner, and the
 * database is in its data centre.
 */
static double round_trip_us(unsigned daemon)
{
	return daemon % DATA_CENTRES == 0 ? SAME_DC_ROUND_TRIP_US : CROSS_DC_ROUND_TRIP_US;
}

/* Number of requests from one queue that may run at a time. */
static unsigned queue_slots(const setup_t *setup)
{
	return setup->daemon_slots ? setup->daemon_slots : setup->slots + setup->extra_statements;
}

static unsigned request_queue_index(const sim_t *sim, const request_t *request)
{
	return sim->setup->daemon_slots ? request->daemon : 0;
}

/* Event handlers */

static void queue_dispatch(sim_t *sim, unsigned queue_index)
{
	while (sim->running[queue_index] < queue_slots(sim->setup)) {
		uint64_t request_id =
			jh_fair_queue_take(sim->queues[queue_index], (int64_t)sim->now_us);
		request_t *request = (request_t *)(uintptr_t)request_id;

		if (!request)
			return;
		request->dispatched_us = sim->now_us;
		sim->running[queue_index]++;
		event_schedule(sim,
			       round_trip_us(sim->setup->daemon_slots ? request->daemon : 0) / 2,
			       EVENT_AT_DATABASE, request, 0);
	}
}

static double team_rate_per_s(const setup_t *setup, unsigned team)
{
	double rate_per_s = setup->load * setup->slots * US_PER_S / SERVICE_US / TEAMS;

	return setup->has_flood && team == 0 ? FLOOD_FACTOR * rate_per_s : rate_per_s;
}

static void on_arrival(sim_t *sim, unsigned team)
{
	request_t *request = g_new0(request_t, 1);
	bool enters_first_daemon = g_rand_double(sim->random) < sim->setup->first_daemon_ratio;

	request->team = team;
	request->daemon =
		enters_first_daemon ? 0 : (unsigned)g_rand_int_range(sim->random, 0, DAEMONS);
	request->arrived_us = sim->now_us;
	request->service_us = random_exponential(sim, SERVICE_US);
	sim->offered[team]++;
	/* Daemons other than the owner forward the request to it. */
	event_schedule(sim,
		       !sim->setup->daemon_slots && request->daemon != 0 ?
			       round_trip_us(request->daemon) / 2 :
			       0,
		       EVENT_ENQUEUE, request, team);
	event_schedule(sim, random_exponential(sim, US_PER_S / team_rate_per_s(sim->setup, team)),
		       EVENT_ARRIVE, NULL, team);
}

static void on_enqueue(sim_t *sim, request_t *request)
{
	unsigned queue_index = request_queue_index(sim, request);
	double remaining_us = DEADLINE_US - (sim->now_us - request->arrived_us);
	jh_fair_admission_t admission = jh_fair_queue_offer(
		sim->queues[queue_index], g_intern_static_string(team_names[request->team]), 1.0,
		(uint64_t)(uintptr_t)request, (int64_t)sim->now_us, (int64_t)remaining_us);

	if (admission.result != JH_FAIR_QUEUED) {
		sim->others_refused += request->team != 0;
		g_free(request);
	}
	queue_dispatch(sim, queue_index);
}

static void database_run_waiting(sim_t *sim)
{
	while (sim->busy_slots < sim->setup->slots && sim->database_queue.length > 0) {
		request_t *request = g_queue_pop_head(&sim->database_queue);

		sim->busy_slots++;
		event_schedule(sim, request->service_us, EVENT_EXECUTED, request, 0);
	}
}

static void on_executed(sim_t *sim, request_t *request)
{
	sim->busy_slots--;
	database_run_waiting(sim);
	event_schedule(sim, round_trip_us(sim->setup->daemon_slots ? request->daemon : 0) / 2,
		       EVENT_COMPLETED, request, 0);
}

static void on_completed(sim_t *sim, request_t *request)
{
	unsigned queue_index = request_queue_index(sim, request);
	double return_us = !sim->setup->daemon_slots && request->daemon != 0 ?
				   round_trip_us(request->daemon) / 2 :
				   0;
	double latency_us = sim->now_us + return_us - request->arrived_us;

	sim->running[queue_index]--;
	jh_fair_queue_finish(sim->queues[queue_index],
			     g_intern_static_string(team_names[request->team]),
			     (int64_t)(sim->now_us - request->dispatched_us));
	if (latency_us <= DEADLINE_US) {
		sim->served[request->team]++;
		g_array_append_val(sim->latencies_us, latency_us);
		if (request->team != 0)
			g_array_append_val(sim->other_latencies_us, latency_us);
	}
	g_free(request);
	queue_dispatch(sim, queue_index);
}

static void event_handle(sim_t *sim, const event_t *event)
{
	switch (event->kind) {
	case EVENT_ARRIVE:
		on_arrival(sim, event->team);
		break;
	case EVENT_ENQUEUE:
		on_enqueue(sim, event->request);
		break;
	case EVENT_AT_DATABASE:
		g_queue_push_tail(&sim->database_queue, event->request);
		database_run_waiting(sim);
		break;
	case EVENT_EXECUTED:
		on_executed(sim, event->request);
		break;
	default:
		on_completed(sim, event->request);
	}
}

/* One run */

static gint double_compare(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static double percentile_ms(GArray *values, double quantile)
{
	if (values->len == 0)
		return 0;
	g_array_sort(values, double_compare);
	return g_array_index(values, double, (guint)(quantile * (values->len - 1))) / 1000;
}

static void result_print(const sim_t *sim, int seed)
{
	double worst_served_ratio = 1;
	unsigned offered = 0;
	unsigned i;

	for (i = 1; i < TEAMS; i++)
		worst_served_ratio =
			MIN(worst_served_ratio, (double)sim->served[i] / sim->offered[i]);
	for (i = 1; i < TEAMS; i++)
		offered += sim->offered[i];
	printf("%-7s share=%u extra=%u slots=%u load=%.1f p50_ms=%6.1f p99_ms=%6.1f others_p99_ms=%6.1f "
	       "others_refused=%.4f worst_team_served=%.4f seed=%d\n",
	       sim->setup->name, sim->setup->daemon_slots, sim->setup->extra_statements,
	       sim->setup->slots, sim->setup->load, percentile_ms(sim->latencies_us, 0.5),
	       percentile_ms(sim->latencies_us, 0.99), percentile_ms(sim->other_latencies_us, 0.99),
	       (double)sim->others_refused / offered, worst_served_ratio, seed);
}

static void sim_run(const setup_t *setup, int seed)
{
	sim_t sim = { .setup = setup };
	unsigned i;

	sim.random = g_rand_new_with_seed((guint32)seed);
	sim.events = g_sequence_new(g_free);
	sim.latencies_us = g_array_new(FALSE, FALSE, sizeof(double));
	sim.other_latencies_us = g_array_new(FALSE, FALSE, sizeof(double));
	g_queue_init(&sim.database_queue);
	for (i = 0; i < DAEMONS; i++)
		sim.queues[i] = jh_fair_queue_new(queue_slots(setup), 512);
	for (i = 0; i < TEAMS; i++)
		event_schedule(&sim, 0, EVENT_ARRIVE, NULL, i);
	while (sim.now_us < RUN_SECONDS * US_PER_S) {
		GSequenceIter *earliest = g_sequence_get_begin_iter(sim.events);
		event_t event = *(event_t *)g_sequence_get(earliest);

		g_sequence_remove(earliest);
		sim.now_us = event.at_us;
		event_handle(&sim, &event);
	}
	result_print(&sim, seed);
	for (i = 0; i < DAEMONS; i++)
		jh_fair_queue_free(sim.queues[i]);
	g_sequence_free(sim.events);
	g_queue_clear(&sim.database_queue);
	g_array_free(sim.latencies_us, TRUE);
	g_array_free(sim.other_latencies_us, TRUE);
	g_rand_free(sim.random);
}

int main(void)
{
	static const setup_t cases[] = {
		{ .name = "even", .slots = 5, .load = 0.6 },
		{ .name = "even", .slots = 5, .load = 0.8 },
		{ .name = "skewed", .slots = 5, .load = 0.6, .first_daemon_ratio = 0.5 },
		{ .name = "flood", .slots = 5, .load = 0.4, .has_flood = true },
		{ .name = "even", .slots = 2, .load = 0.6 },
		{ .name = "even", .slots = 2, .load = 0.8 },
		{ .name = "skewed", .slots = 2, .load = 0.6, .first_daemon_ratio = 0.5 },
		{ .name = "flood", .slots = 2, .load = 0.4, .has_flood = true },
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		setup_t setup = cases[i];

		for (setup.daemon_slots = 0; setup.daemon_slots <= MAX_DAEMON_SLOTS;
		     setup.daemon_slots++)
			sim_run(&setup, 1);
		setup.daemon_slots = 0;
		setup.extra_statements = 1;
		sim_run(&setup, 1);
	}
	return 0;
}
