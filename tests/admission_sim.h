#ifndef ADMISSION_SIM_H
#define ADMISSION_SIM_H

#include "jh_admission.h"
#include "runner.h"

#include <stdio.h>
#include <string.h>

/*
 * Simulates in virtual time the queue of one group, whose members have slots and connections that
 * belong to teams, and callers that try again when they are told to. Guards against callers that
 * are held until they time out, that are refused although there is capacity in their time, that
 * come back all at once, and that wait behind another team or a lower priority.
 *
 * Each load is also run with the rules that were in force before: one list by priority, a wait of a
 * quarter of the target, a refusal that names 200 ms. The tests assert that these fail, so that
 * they test more than the simulation.
 */

#define MS_US INT64_C(1000)
#define SECOND_US (1000 * MS_US)
#define STEP_US MS_US
#define REVIEW_US (20 * MS_US)
#define RETURNS_US (20 * MS_US)
#define CONNS_MAX 64
#define CLASSES_MAX 3
#define TRIES_MAX 3
#define SEEDS 10
/* One way between callers and the VM. */
#define LATENCY_US MS_US

/**
 * struct load - a kind of operation
 * @rate: operations per second in [@from_us, @until_us)
 * @teams: number of its teams, of which the first has @hot times the share of the others
 * @run_us: run time on a slot
 * @deadline_us: time from the first attempt after which its result is useless
 */
typedef struct load {
	double rate;
	int64_t from_us;
	int64_t until_us;
	unsigned teams;
	double hot;
	int priority;
	int64_t run_us;
	int64_t target_us;
	int64_t limit_us;
	int64_t deadline_us;
} load_t;

typedef struct operation {
	uint64_t id;
	const load_t *load;
	unsigned load_index;
	const char *team;
	bool is_hot;
	int64_t first_us;
	int64_t arrived_us;
	int64_t due_us;
	unsigned tries;
} operation_t;

typedef struct conn {
	const char *team;
	operation_t *operation;
	jh_admission_ticket_t ticket;
	int64_t left_us;
	int64_t idle_us;
} conn_t;

typedef struct result {
	unsigned offered;
	unsigned on_time;
	unsigned late;
	unsigned refused;
	/* Refusals of callers that were held for more than a quarter of their limit. */
	unsigned held_and_refused;
	/* Not answered within the limit, or at a primary that was lost. */
	unsigned timed_out;
	/* Served by a later attempt, but after the caller's deadline. */
	unsigned expired;
} result_t;

typedef struct sim {
	bool uses_old_rules;
	jh_admission_t *admission;
	GRand *rand;
	int64_t now_us;
	load_t loads[CLASSES_MAX];
	unsigned load_count;
	unsigned slots;
	unsigned conn_count;
	conn_t conns[CONNS_MAX];
	/* Time to open a connection in place of one of another team. */
	int64_t open_us;
	/* operation_t *, in the order in which they come to run. */
	GQueue at_member;
	GHashTable *waiting;
	/* The list of the old rules: operation_t *, by priority. */
	GList *list;
	GPtrArray *returning;
	uint64_t next_id;
	/* How many times the usual run time statements take in the slow period. */
	double slowness;
	int64_t slow_from_us;
	int64_t slow_until_us;
	/* From then on half of the members are lost; 0 if none is. */
	int64_t halved_us;
	int64_t down_from_us;
	int64_t down_until_us;
	jh_outage_estimate_t outage;
	result_t results[CLASSES_MAX];
	/* Those of the first team, and of the others, in all classes. */
	result_t hot;
	result_t others;
	/* Callers that return in this period of RETURNS_US, and the most in one. */
	unsigned returns;
	unsigned most_returns;
} sim_t;

static inline bool is_down(const sim_t *sim)
{
	return sim->now_us >= sim->down_from_us && sim->now_us < sim->down_until_us;
}

static inline unsigned slots_now(const sim_t *sim)
{
	return sim->halved_us != 0 && sim->now_us >= sim->halved_us ? sim->slots / 2 : sim->slots;
}

static inline unsigned conns_now(const sim_t *sim)
{
	return sim->conn_count * slots_now(sim) / sim->slots;
}

static inline void add_result(sim_t *sim, const operation_t *operation, size_t field)
{
	result_t *results[] = { &sim->results[operation->load_index],
				operation->is_hot ? &sim->hot : &sim->others };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(results); i++)
		(*(unsigned *)((char *)results[i] + field))++;
}

#define COUNT(sim, operation, field) add_result((sim), (operation), offsetof(result_t, field))

static inline jh_admission_request_t make_request(const operation_t *operation)
{
	return (jh_admission_request_t){
		.id = operation->id,
		.team = operation->team,
		.lane = JH_LANE_PRIMARY,
		.priority = operation->load->priority,
		.arrived_us = operation->arrived_us,
		.target_us = operation->arrived_us + operation->load->target_us,
		.limit_us = operation->arrived_us + operation->load->limit_us,
	};
}

/* ---- callers ---- */

static inline void refuse(sim_t *sim, operation_t *operation, int64_t retry_us)
{
	if (sim->now_us - operation->arrived_us > operation->load->limit_us / 4)
		COUNT(sim, operation, held_and_refused);
	operation->due_us = sim->now_us + retry_us + 2 * LATENCY_US;
	if (operation->tries >= TRIES_MAX ||
	    operation->due_us >= operation->first_us + operation->load->deadline_us) {
		COUNT(sim, operation, refused);
		g_free(operation);
		return;
	}
	g_ptr_array_add(sim->returning, operation);
}

static inline void succeed(sim_t *sim, operation_t *operation)
{
	int64_t age_us = sim->now_us - operation->first_us;

	if (sim->now_us > operation->arrived_us + operation->load->limit_us)
		COUNT(sim, operation, timed_out);
	else if (age_us <= operation->load->target_us)
		COUNT(sim, operation, on_time);
	else if (age_us <= operation->load->deadline_us)
		COUNT(sim, operation, late);
	else
		COUNT(sim, operation, expired);
	g_free(operation);
}

/* ---- members ---- */

static inline conn_t *find_conn(sim_t *sim, const char *team)
{
	conn_t *other = NULL;
	unsigned i;

	for (i = 0; i < conns_now(sim); i++) {
		conn_t *conn = &sim->conns[i];

		if (conn->operation)
			continue;
		if (conn->team == team)
			return conn;
		if (!other || conn->idle_us < other->idle_us)
			other = conn;
	}
	return other;
}

static inline void run_on(sim_t *sim, conn_t *conn, operation_t *operation)
{
	bool is_slow = sim->now_us >= sim->slow_from_us && sim->now_us < sim->slow_until_us;
	double run_us = (double)operation->load->run_us * (is_slow ? sim->slowness : 1.0) *
			g_rand_double_range(sim->rand, 0.5, 1.5);

	conn->operation = operation;
	conn->left_us = (int64_t)run_us + (conn->team == operation->team ? 0 : sim->open_us);
	conn->team = operation->team;
	g_queue_push_tail(&sim->at_member, conn);
}

/* The first statements at the member, as many as it has slots, run for a step. */
static inline void run_members(sim_t *sim)
{
	GList *link = sim->at_member.head;
	unsigned slot;

	for (slot = 0; link && slot < slots_now(sim) && !is_down(sim); slot++) {
		GList *next = link->next;
		conn_t *conn = link->data;

		conn->left_us -= STEP_US;
		if (conn->left_us <= 0) {
			operation_t *operation = conn->operation;

			g_queue_delete_link(&sim->at_member, link);
			conn->operation = NULL;
			conn->idle_us = sim->now_us;
			if (!sim->uses_old_rules)
				jh_admission_finish(sim->admission, &conn->ticket, true,
						    sim->now_us);
			succeed(sim, operation);
		}
		link = next;
	}
}

/* Statements at a primary that is lost have an unknown outcome. */
static inline void lose_members(sim_t *sim)
{
	conn_t *conn;

	while ((conn = g_queue_pop_head(&sim->at_member))) {
		COUNT(sim, conn->operation, timed_out);
		g_clear_pointer(&conn->operation, g_free);
		if (!sim->uses_old_rules)
			jh_admission_finish(sim->admission, &conn->ticket, false, sim->now_us);
	}
}

/* ---- the queue ---- */

static inline void set_capacity(sim_t *sim)
{
	jh_admission_capacity_t capacity = { .connections = conns_now(sim),
					     .slots = slots_now(sim) };

	if (is_down(sim)) {
		jh_outage_begin(&sim->outage, sim->now_us);
		capacity.opens_us = sim->now_us + jh_outage_left_us(&sim->outage, sim->now_us);
	} else {
		jh_outage_end(&sim->outage, true, sim->now_us);
	}
	jh_admission_set_capacity(sim->admission, JH_LANE_PRIMARY, &capacity);
}

static inline void arrive(sim_t *sim, operation_t *operation)
{
	jh_admission_request_t request;
	jh_admission_decision_t decision;
	conn_t *conn;

	operation->arrived_us = sim->now_us;
	operation->tries++;
	request = make_request(operation);
	decision = jh_admission_decide(sim->admission, &request, sim->now_us);
	if (decision.result == JH_ADMISSION_REFUSE) {
		ck_assert_int_gt(decision.retry_us, 0);
		refuse(sim, operation, decision.retry_us);
		return;
	}
	conn = decision.result == JH_ADMISSION_RUN ? find_conn(sim, operation->team) : NULL;
	if (conn) {
		conn->ticket = jh_admission_start(sim->admission, &request, sim->now_us);
		run_on(sim, conn, operation);
		return;
	}
	jh_admission_enqueue(sim->admission, &request, &decision, sim->now_us);
	g_hash_table_insert(sim->waiting, &operation->id, operation);
}

static inline void dispatch(sim_t *sim)
{
	uint64_t id;

	jh_admission_begin_pass(sim->admission);
	while ((id = jh_admission_next(sim->admission, sim->now_us)) != 0) {
		operation_t *operation = g_hash_table_lookup(sim->waiting, &id);
		conn_t *conn = find_conn(sim, operation->team);

		if (!conn) {
			jh_admission_skip(sim->admission, id);
			continue;
		}
		conn->ticket = jh_admission_take(sim->admission, id, sim->now_us);
		g_hash_table_remove(sim->waiting, &id);
		run_on(sim, conn, operation);
	}
}

static inline void review(sim_t *sim)
{
	GArray *refusals = g_array_new(FALSE, FALSE, sizeof(jh_admission_refusal_t));
	unsigned i;

	jh_admission_review(sim->admission, sim->now_us, refusals);
	for (i = 0; i < refusals->len; i++) {
		const jh_admission_refusal_t *refusal =
			&g_array_index(refusals, jh_admission_refusal_t, i);
		operation_t *operation = g_hash_table_lookup(sim->waiting, &refusal->id);

		g_hash_table_remove(sim->waiting, &refusal->id);
		refuse(sim, operation, refusal->decision.retry_us);
	}
	g_array_free(refusals, TRUE);
}

/* ---- the old rules ---- */

static inline int compare_priority(const void *a, const void *b)
{
	const operation_t *left = a;
	const operation_t *right = b;

	if (left->load->priority != right->load->priority)
		return left->load->priority - right->load->priority;
	return left->arrived_us < right->arrived_us ? -1 : left->arrived_us > right->arrived_us;
}

static inline void old_arrive(sim_t *sim, operation_t *operation)
{
	operation->arrived_us = sim->now_us;
	operation->tries++;
	if (g_list_length(sim->list) >= 8 * sim->conn_count ||
	    (is_down(sim) && operation->load->limit_us < 700 * MS_US))
		refuse(sim, operation, 200 * MS_US);
	else
		sim->list = g_list_insert_sorted(sim->list, operation, compare_priority);
}

static inline void old_dispatch(sim_t *sim)
{
	GList *link = sim->list;

	while (link) {
		operation_t *operation = link->data;
		GList *next = link->next;
		conn_t *conn = is_down(sim) ? NULL : find_conn(sim, operation->team);

		if (conn)
			run_on(sim, conn, operation);
		else if (sim->now_us - operation->arrived_us >= operation->load->target_us / 4)
			refuse(sim, operation, 200 * MS_US);
		else
			operation = NULL;
		if (operation)
			sim->list = g_list_delete_link(sim->list, link);
		link = next;
	}
}

/* ---- simulation ---- */

static inline void add_operation(sim_t *sim, unsigned index)
{
	const load_t *load = &sim->loads[index];
	operation_t *operation = g_new0(operation_t, 1);
	double share = g_rand_double_range(sim->rand, 0, load->hot + load->teams - 1);
	unsigned team = share < load->hot ? 0 : 1 + (unsigned)(share - load->hot);
	char *name = g_strdup_printf("team-%u", team);

	operation->id = ++sim->next_id;
	operation->load = load;
	operation->load_index = index;
	operation->team = g_intern_string(name);
	operation->is_hot = team == 0;
	operation->first_us = sim->now_us;
	g_free(name);
	COUNT(sim, operation, offered);
	(sim->uses_old_rules ? old_arrive : arrive)(sim, operation);
}

static inline void add_arrivals(sim_t *sim)
{
	unsigned i;

	for (i = 0; i < sim->load_count; i++) {
		const load_t *load = &sim->loads[i];
		double expected = load->rate * STEP_US / SECOND_US;

		if (sim->now_us < load->from_us || sim->now_us >= load->until_us)
			continue;
		while (g_rand_double(sim->rand) < expected) {
			add_operation(sim, i);
			expected -= 1;
		}
	}
}

static inline void add_returns(sim_t *sim)
{
	unsigned i = 0;

	if (sim->now_us % RETURNS_US == 0)
		sim->returns = 0;
	while (i < sim->returning->len) {
		operation_t *operation = g_ptr_array_index(sim->returning, i);

		if (operation->due_us > sim->now_us) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(sim->returning, i);
		sim->returns++;
		(sim->uses_old_rules ? old_arrive : arrive)(sim, operation);
	}
	sim->most_returns = MAX(sim->most_returns, sim->returns);
}

static inline void run_step(sim_t *sim)
{
	if (is_down(sim))
		lose_members(sim);
	run_members(sim);
	if (!sim->uses_old_rules)
		set_capacity(sim);
	add_returns(sim);
	add_arrivals(sim);
	if (sim->uses_old_rules) {
		old_dispatch(sim);
	} else {
		dispatch(sim);
		if (sim->now_us % REVIEW_US == 0)
			review(sim);
	}
	sim->now_us += STEP_US;
}

static inline void print_result(const char *name, const result_t *result)
{
	printf("  %-8s offered %u on time %u late %u refused %u held %u timed out %u expired %u\n",
	       name, result->offered, result->on_time, result->late, result->refused,
	       result->held_and_refused, result->timed_out, result->expired);
}

static inline void check_all_ended(const sim_t *sim)
{
	unsigned i;

	ck_assert_uint_eq(sim->returning->len, 0);
	ck_assert_uint_eq(g_hash_table_size(sim->waiting), 0);
	ck_assert_uint_eq(sim->at_member.length, 0);
	ck_assert_ptr_null(sim->list);
	for (i = 0; i < sim->load_count; i++) {
		const result_t *result = &sim->results[i];

		ck_assert_uint_eq(result->offered, result->on_time + result->late +
							   result->refused + result->timed_out +
							   result->expired);
	}
}

/* Runs the loads until all operations have ended, and adds to the results. */
static inline void run_seed(sim_t *sim, unsigned seed)
{
	int64_t until_us = 0;
	unsigned i;

	sim->admission = jh_admission_new();
	sim->rand = g_rand_new_with_seed(seed);
	/* Times of 0 mean "none" in the code under test. */
	sim->now_us = STEP_US;
	sim->outage = (jh_outage_estimate_t){ 0 };
	sim->waiting = g_hash_table_new(g_int64_hash, g_int64_equal);
	sim->returning = g_ptr_array_new();
	g_queue_init(&sim->at_member);
	memset(sim->conns, 0, sizeof(sim->conns));
	for (i = 0; i < sim->load_count; i++)
		until_us = MAX(until_us, sim->loads[i].until_us + sim->loads[i].deadline_us);
	while (sim->now_us < until_us + SECOND_US)
		run_step(sim);
	check_all_ended(sim);
	g_rand_free(sim->rand);
	g_hash_table_destroy(sim->waiting);
	g_ptr_array_free(sim->returning, TRUE);
	jh_admission_free(sim->admission);
}

/* Return: sums of the results of SEEDS runs of the loads in @setup */
static inline sim_t run(const sim_t *setup, bool uses_old_rules, const char *name)
{
	sim_t sim = *setup;
	unsigned i;

	sim.uses_old_rules = uses_old_rules;
	for (i = 1; i <= SEEDS; i++)
		run_seed(&sim, i);
	printf("%s, %s\n", name, uses_old_rules ? "old rules" : "admission");
	for (i = 0; i < sim.load_count; i++)
		print_result("load", &sim.results[i]);
	print_result("hot", &sim.hot);
	print_result("others", &sim.others);
	fflush(stdout);
	return sim;
}

/* The kinds of operations of Load A in docs/design/heavy-and-uneven-load.md, from 0 to 4 s. */

static inline load_t urgent_load(double rate)
{
	return (load_t){ .rate = rate,
			 .until_us = 4 * SECOND_US,
			 .teams = 4,
			 .hot = 1,
			 .priority = 0,
			 .run_us = 6 * MS_US,
			 .target_us = 200 * MS_US,
			 .limit_us = 800 * MS_US,
			 .deadline_us = 1500 * MS_US };
}

static inline load_t usual_load(double rate)
{
	return (load_t){ .rate = rate,
			 .until_us = 4 * SECOND_US,
			 .teams = 4,
			 .hot = 1,
			 .priority = 1,
			 .run_us = 18 * MS_US,
			 .target_us = 400 * MS_US,
			 .limit_us = 800 * MS_US,
			 .deadline_us = 1500 * MS_US };
}

static inline load_t batch_load(double rate)
{
	return (load_t){ .rate = rate,
			 .until_us = 4 * SECOND_US,
			 .teams = 4,
			 .hot = 1,
			 .priority = 2,
			 .run_us = 30 * MS_US,
			 .target_us = 1000 * MS_US,
			 .limit_us = 2000 * MS_US,
			 .deadline_us = 5000 * MS_US };
}

static inline double share(unsigned count, unsigned of)
{
	return of == 0 ? 1.0 : (double)count / of;
}

static inline double served(const result_t *result)
{
	return share(result->on_time + result->late, result->offered);
}

#endif
