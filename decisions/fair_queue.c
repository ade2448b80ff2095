/*
 * Fair queue of one database.
 *
 * Start-time fair queueing: each team has a virtual time, its charged run time divided by its
 * weight, and the team with waiting items and the least virtual time is next. The run time of a
 * request is not known when it starts. So the team is charged its average run time at the start,
 * and the difference at the end. Without the charge at the start, a team could fill all slots
 * before its first request is charged.
 *
 * A team that was idle continues at the later of its own virtual time and the queue's, which is the
 * highest virtual time at which a request has started. So an idle team saves up no credit, and a
 * team that used more than its share stays charged for it.
 *
 * The estimate of a wait includes only the teams that wait now. Teams that arrive later make the
 * wait longer, so each team's estimate is multiplied by a moving average of the ratio of measured
 * to estimated waits.
 */
#include "jh_fair_queue.h"

/* Run time assumed for new teams until another is set, microseconds. */
#define DEFAULT_RUN_US 1000.0
/* Weight of a new value in the exponential moving averages. */
#define AVERAGE_WEIGHT 0.125
/* Bounds of the factor that corrects a team's estimated waits. */
#define WAIT_CORRECTION_MIN 0.5
#define WAIT_CORRECTION_MAX 4.0

typedef struct item {
	uint64_t id;
	int64_t offered_us;
	/* Estimated wait before the correction. */
	double expected_us;
} item_t;

typedef struct team {
	const char *name;
	double weight;
	double virtual_us;
	double average_run_us;
	double wait_correction;
	unsigned running;
	GQueue items;
} team_t;

struct jh_fair_queue {
	unsigned slots;
	unsigned max_team_items;
	unsigned length;
	unsigned running;
	double virtual_us;
	/* Run time assumed for a team of which no request has ended yet. */
	double default_run_us;
	/* All teams since the start, searched linearly because they are few. */
	GPtrArray *teams;
};

static void free_team(gpointer data)
{
	team_t *team = data;

	while (team->items.length > 0)
		g_free(g_queue_pop_head(&team->items));
	g_free(team);
}

jh_fair_queue_t *jh_fair_queue_new(unsigned slots, unsigned max_team_items)
{
	jh_fair_queue_t *queue = g_new0(jh_fair_queue_t, 1);

	queue->slots = MAX(slots, 1);
	queue->max_team_items = max_team_items;
	queue->default_run_us = DEFAULT_RUN_US;
	queue->teams = g_ptr_array_new_with_free_func(free_team);
	return queue;
}

void jh_fair_queue_free(jh_fair_queue_t *queue)
{
	if (!queue)
		return;
	g_ptr_array_free(queue->teams, TRUE);
	g_free(queue);
}

void jh_fair_queue_set_slots(jh_fair_queue_t *queue, unsigned slots)
{
	queue->slots = MAX(slots, 1);
}

static team_t *find_team(const jh_fair_queue_t *queue, const char *name)
{
	unsigned i;

	for (i = 0; i < queue->teams->len; i++) {
		team_t *team = g_ptr_array_index(queue->teams, i);

		if (team->name == name)
			return team;
	}
	return NULL;
}

static team_t *get_team(jh_fair_queue_t *queue, const char *name, double weight)
{
	team_t *team = find_team(queue, name);

	if (!team) {
		team = g_new0(team_t, 1);
		team->name = name;
		team->average_run_us = queue->default_run_us;
		team->wait_correction = 1.0;
		g_queue_init(&team->items);
		g_ptr_array_add(queue->teams, team);
	}
	team->weight = weight > 0 ? weight : 1.0;
	if (team->items.length == 0 && team->running == 0)
		team->virtual_us = MAX(team->virtual_us, queue->virtual_us);
	return team;
}

/* Estimated wait */

static double sum_weights(const jh_fair_queue_t *queue, const team_t *included)
{
	double weight = 0;
	unsigned i;

	for (i = 0; i < queue->teams->len; i++) {
		const team_t *team = g_ptr_array_index(queue->teams, i);

		if (team->items.length > 0 || team == included)
			weight += team->weight;
	}
	return weight;
}

/* Mean time until one of the slots is free. */
static double estimate_slot_wait_us(const jh_fair_queue_t *queue)
{
	double total = 0;
	unsigned i;

	if (queue->running < queue->slots)
		return 0;
	for (i = 0; i < queue->teams->len; i++) {
		const team_t *team = g_ptr_array_index(queue->teams, i);

		total += team->running * team->average_run_us;
	}
	return total / queue->running / queue->slots;
}

/*
 * Time until one more item of @team would start. First the other teams run until their virtual
 * time reaches that of @team, then the waiting items of @team run at its share of the slots.
 */
static double estimate_team_wait_us(const jh_fair_queue_t *queue, const team_t *team)
{
	double weight = sum_weights(queue, team);
	double ahead_us = MAX(team->virtual_us - queue->virtual_us, 0);
	double own_items_us = team->items.length * team->average_run_us / team->weight;

	if (queue->running < queue->slots && queue->length == 0)
		return 0;
	if (weight <= team->weight)
		ahead_us = 0;
	return estimate_slot_wait_us(queue) + (ahead_us + own_items_us) * weight / queue->slots;
}

int64_t jh_fair_queue_wait_us(const jh_fair_queue_t *queue)
{
	const team_t new_team = {
		.weight = 1.0,
		.virtual_us = queue->virtual_us,
		.average_run_us = DEFAULT_RUN_US,
	};

	return (int64_t)estimate_team_wait_us(queue, &new_team);
}

/* Items */

static void enqueue_item(jh_fair_queue_t *queue, team_t *team, const item_t *item)
{
	g_queue_push_tail(&team->items, g_memdup2(item, sizeof(*item)));
	queue->length++;
}

jh_fair_admission_t jh_fair_queue_offer(jh_fair_queue_t *queue, const char *name, double weight,
					uint64_t id, int64_t now_us, int64_t left_us)
{
	team_t *team = get_team(queue, name, weight);
	item_t item = { .id = id, .offered_us = now_us };
	jh_fair_admission_t admission = { .result = JH_FAIR_QUEUED };
	int64_t finish_us;

	item.expected_us = estimate_team_wait_us(queue, team);
	admission.wait_us = (int64_t)(item.expected_us * team->wait_correction);
	/* An item that starts now is not refused, since its run time is not known. */
	finish_us = admission.wait_us > 0 ? admission.wait_us + (int64_t)team->average_run_us : 0;
	if (team->items.length >= queue->max_team_items) {
		admission.result = JH_FAIR_FULL;
		admission.retry_us = MAX(admission.wait_us, (int64_t)team->average_run_us);
	} else if (left_us <= 0 || finish_us > left_us) {
		admission.result = JH_FAIR_TOO_LATE;
		admission.retry_us = MAX(finish_us - left_us, (int64_t)team->average_run_us);
	} else {
		enqueue_item(queue, team, &item);
	}
	return admission;
}

static void update_wait_correction(team_t *team, const item_t *item, int64_t now_us)
{
	double ratio;

	if (item->expected_us < team->average_run_us)
		return;
	ratio = (double)(now_us - item->offered_us) / item->expected_us;
	ratio = MIN(ratio, WAIT_CORRECTION_MAX);
	team->wait_correction += (ratio - team->wait_correction) * AVERAGE_WEIGHT;
	team->wait_correction =
		CLAMP(team->wait_correction, WAIT_CORRECTION_MIN, WAIT_CORRECTION_MAX);
}

static void charge_start(jh_fair_queue_t *queue, team_t *team)
{
	queue->virtual_us = MAX(queue->virtual_us, team->virtual_us);
	team->virtual_us += team->average_run_us / team->weight;
	team->running++;
	queue->running++;
}

/* Return: the team whose first item is next; NULL if none of a team outside @skipped waits */
static team_t *find_next_team(const jh_fair_queue_t *queue, GHashTable *skipped)
{
	team_t *next = NULL;
	unsigned i;

	for (i = 0; i < queue->teams->len; i++) {
		team_t *team = g_ptr_array_index(queue->teams, i);

		if (team->items.length == 0 || (next && team->virtual_us >= next->virtual_us) ||
		    (skipped && g_hash_table_contains(skipped, team->name)))
			continue;
		next = team;
	}
	return next;
}

static uint64_t take_first(jh_fair_queue_t *queue, team_t *team, int64_t now_us)
{
	item_t *item = g_queue_pop_head(&team->items);
	uint64_t id = item->id;

	update_wait_correction(team, item, now_us);
	g_free(item);
	queue->length--;
	charge_start(queue, team);
	return id;
}

uint64_t jh_fair_queue_take(jh_fair_queue_t *queue, int64_t now_us)
{
	team_t *next = find_next_team(queue, NULL);

	return next ? take_first(queue, next, now_us) : 0;
}

uint64_t jh_fair_queue_peek(const jh_fair_queue_t *queue, GHashTable *skipped)
{
	const team_t *next = find_next_team(queue, skipped);

	return next ? ((const item_t *)next->items.head->data)->id : 0;
}

uint64_t jh_fair_queue_peek_team(const jh_fair_queue_t *queue, const char *name)
{
	const team_t *team = find_team(queue, name);

	return team && team->items.length > 0 ? ((const item_t *)team->items.head->data)->id : 0;
}

uint64_t jh_fair_queue_take_team(jh_fair_queue_t *queue, const char *name, int64_t now_us)
{
	team_t *team = find_team(queue, name);

	return team && team->items.length > 0 ? take_first(queue, team, now_us) : 0;
}

bool jh_fair_queue_remove(jh_fair_queue_t *queue, const char *name, uint64_t id)
{
	team_t *team = find_team(queue, name);
	GList *node;

	for (node = team ? team->items.head : NULL; node; node = node->next) {
		if (((item_t *)node->data)->id == id) {
			g_free(node->data);
			g_queue_delete_link(&team->items, node);
			queue->length--;
			return true;
		}
	}
	return false;
}

void jh_fair_queue_start(jh_fair_queue_t *queue, const char *name, double weight)
{
	charge_start(queue, get_team(queue, name, weight));
}

void jh_fair_queue_finish(jh_fair_queue_t *queue, const char *name, int64_t run_us)
{
	team_t *team = find_team(queue, name);

	g_return_if_fail(team && team->running > 0);
	/*
	 * Replaces the charge made at the start by the run time. This is approximate if several
	 * requests of the team run, because the average has changed since the start.
	 */
	team->virtual_us += ((double)run_us - team->average_run_us) / team->weight;
	team->average_run_us += ((double)run_us - team->average_run_us) * AVERAGE_WEIGHT;
	team->running--;
	queue->running--;
}

/* Several queues for the same slots */

void jh_fair_queue_set_default_run_us(jh_fair_queue_t *queue, int64_t run_us)
{
	queue->default_run_us = (double)MAX(run_us, 1);
}

static double team_run_us(const team_t *team)
{
	return MAX(team->average_run_us, 1.0);
}

int64_t jh_fair_queue_work_us(const jh_fair_queue_t *queue)
{
	double work_us = 0;
	unsigned i;

	for (i = 0; i < queue->teams->len; i++) {
		const team_t *team = g_ptr_array_index(queue->teams, i);

		work_us += team->items.length * team_run_us(team);
	}
	return (int64_t)work_us;
}

/* Work of the waiting items that start before virtual time @start_us, without those of @except. */
static double sum_work_before(const jh_fair_queue_t *queue, const team_t *except, double start_us)
{
	double work_us = 0;
	unsigned i;

	for (i = 0; i < queue->teams->len; i++) {
		const team_t *team = g_ptr_array_index(queue->teams, i);
		double ahead_us = (start_us - team->virtual_us) * team->weight;

		if (team != except && ahead_us > 0)
			work_us += MIN(ahead_us, team->items.length * team_run_us(team));
	}
	return work_us;
}

static double work_ahead_of_item(const jh_fair_queue_t *queue, const team_t *team, unsigned index)
{
	double own_us = index * team_run_us(team);

	return own_us + sum_work_before(queue, team, team->virtual_us + own_us / team->weight);
}

int64_t jh_fair_queue_work_ahead_us(const jh_fair_queue_t *queue, const char *name)
{
	const team_t *team = find_team(queue, name);

	if (!team)
		return (int64_t)sum_work_before(queue, NULL, queue->virtual_us);
	if (team->items.length == 0 && team->running == 0)
		return (int64_t)sum_work_before(queue, team,
						MAX(team->virtual_us, queue->virtual_us));
	return (int64_t)work_ahead_of_item(queue, team, team->items.length);
}

void jh_fair_queue_foreach(const jh_fair_queue_t *queue, jh_fair_visit_t visit, void *data)
{
	unsigned i;

	for (i = 0; i < queue->teams->len; i++) {
		const team_t *team = g_ptr_array_index(queue->teams, i);
		const GList *link;
		unsigned index = 0;

		for (link = team->items.head; link; link = link->next)
			visit(((const item_t *)link->data)->id,
			      (int64_t)work_ahead_of_item(queue, team, index++), data);
	}
}

unsigned jh_fair_queue_length(const jh_fair_queue_t *queue)
{
	return queue->length;
}
