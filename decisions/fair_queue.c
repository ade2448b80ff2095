/* Fair queue of one database.
 *
 * Each team has a virtual time, its run time divided by its weight. The backlogged team with the
 * least virtual time is next. What a request will cost isn't known when it starts, so the team is
 * charged with its average run time then and the difference is settled at the end; else a team
 * could fill all slots before its first request is charged.
 *
 * A team that was idle starts at the queue's virtual time (that of the last request taken), so
 * that idling saves nothing up, and a team that had run ahead keeps its debt.
 *
 * The expected wait knows only the teams that wait now; others that come meanwhile make it longer.
 * So each team's estimate is stretched by the ratio of its measured waits to the estimates.
 */
#include "jh_fair_queue.h"

/* Run time assumed of a team that has not run yet, microseconds. */
#define FIRST_RUN_US 1000.0
/* Part of a new run time in the moving average. */
#define AVERAGE_PART 0.125
/* Bounds of the correction of a team's expected waits. */
#define STRETCH_MIN 0.5
#define STRETCH_MAX 4.0

typedef struct item {
	uint64_t number;
	int64_t offered_us;
	/* Before the correction. */
	double expected_us;
} item_t;

typedef struct team {
	const char *name;
	double weight;
	double virtual_us;
	double average_us;
	double stretch;
	unsigned running;
	GQueue items;
} team_t;

struct jh_fair_queue {
	unsigned slots;
	unsigned bound;
	unsigned length;
	unsigned running;
	double virtual_us;
	/* All teams ever seen; few, and looked at one by one. */
	GPtrArray *teams;
};

static void team_free(gpointer data)
{
	team_t *team = data;

	while (team->items.length > 0)
		g_free(g_queue_pop_head(&team->items));
	g_free(team);
}

jh_fair_queue_t *jh_fair_queue_new(unsigned slots, unsigned bound)
{
	jh_fair_queue_t *queue = g_new0(jh_fair_queue_t, 1);

	queue->slots = MAX(slots, 1);
	queue->bound = bound;
	queue->teams = g_ptr_array_new_with_free_func(team_free);
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

static team_t *team_find(const jh_fair_queue_t *queue, const char *name)
{
	unsigned i;

	for (i = 0; i < queue->teams->len; i++) {
		team_t *team = g_ptr_array_index(queue->teams, i);

		if (team->name == name)
			return team;
	}
	return NULL;
}

static team_t *team_get(jh_fair_queue_t *queue, const char *name, double weight)
{
	team_t *team = team_find(queue, name);

	if (!team) {
		team = g_new0(team_t, 1);
		team->name = name;
		team->average_us = FIRST_RUN_US;
		team->stretch = 1.0;
		g_queue_init(&team->items);
		g_ptr_array_add(queue->teams, team);
	}
	team->weight = weight > 0 ? weight : 1.0;
	if (team->items.length == 0 && team->running == 0)
		team->virtual_us = MAX(team->virtual_us, queue->virtual_us);
	return team;
}

/* ---- expected wait ---- */

static double weight_waiting(const jh_fair_queue_t *queue, const team_t *with)
{
	double weight = 0;
	unsigned i;

	for (i = 0; i < queue->teams->len; i++) {
		const team_t *team = g_ptr_array_index(queue->teams, i);

		if (team->items.length > 0 || team == with)
			weight += team->weight;
	}
	return weight;
}

/* Mean time until one of the busy slots is free. */
static double slot_wait_us(const jh_fair_queue_t *queue)
{
	double total = 0;
	unsigned i;

	if (queue->running < queue->slots)
		return 0;
	for (i = 0; i < queue->teams->len; i++) {
		const team_t *team = g_ptr_array_index(queue->teams, i);

		total += team->running * team->average_us;
	}
	return total / queue->running / queue->slots;
}

/* Time until one more item of @team would start: the others catch its lead up, then its own
 * items run at its share of the slots. */
static double team_wait_us(const jh_fair_queue_t *queue, const team_t *team)
{
	double weight = weight_waiting(queue, team);
	double lead_us = MAX(team->virtual_us - queue->virtual_us, 0);
	double own_us = team->items.length * team->average_us / team->weight;

	if (queue->running < queue->slots && queue->length == 0)
		return 0;
	if (weight <= team->weight)
		lead_us = 0;
	return slot_wait_us(queue) + (lead_us + own_us) * weight / queue->slots;
}

int64_t jh_fair_queue_wait_us(const jh_fair_queue_t *queue)
{
	const team_t newcomer = {
		.weight = 1.0,
		.virtual_us = queue->virtual_us,
		.average_us = FIRST_RUN_US,
	};

	return (int64_t)team_wait_us(queue, &newcomer);
}

/* ---- items ---- */

static void item_push(jh_fair_queue_t *queue, team_t *team, const item_t *item)
{
	g_queue_push_tail(&team->items, g_memdup2(item, sizeof(*item)));
	queue->length++;
}

jh_fair_verdict_t jh_fair_queue_offer(jh_fair_queue_t *queue, const char *name, double weight,
				      uint64_t number, int64_t now_us, int64_t left_us)
{
	team_t *team = team_get(queue, name, weight);
	item_t item = { .number = number, .offered_us = now_us };
	jh_fair_verdict_t verdict = { .result = JH_FAIR_QUEUED };
	int64_t finish_us;

	item.expected_us = team_wait_us(queue, team);
	verdict.wait_us = (int64_t)(item.expected_us * team->stretch);
	/* Without a wait nothing is refused: one run's time is never known. */
	finish_us = verdict.wait_us > 0 ? verdict.wait_us + (int64_t)team->average_us : 0;
	if (team->items.length >= queue->bound) {
		verdict.result = JH_FAIR_FULL;
		verdict.retry_us = MAX(verdict.wait_us, (int64_t)team->average_us);
	} else if (left_us <= 0 || finish_us > left_us) {
		verdict.result = JH_FAIR_LATE;
		verdict.retry_us = MAX(finish_us - left_us, (int64_t)team->average_us);
	} else {
		item_push(queue, team, &item);
	}
	return verdict;
}

static void team_learn_wait(team_t *team, const item_t *item, int64_t now_us)
{
	double ratio;

	if (item->expected_us < team->average_us)
		return;
	ratio = (double)(now_us - item->offered_us) / item->expected_us;
	ratio = MIN(ratio, STRETCH_MAX);
	team->stretch += (ratio - team->stretch) * AVERAGE_PART;
	team->stretch = CLAMP(team->stretch, STRETCH_MIN, STRETCH_MAX);
}

static void team_start(jh_fair_queue_t *queue, team_t *team)
{
	queue->virtual_us = MAX(queue->virtual_us, team->virtual_us);
	team->virtual_us += team->average_us / team->weight;
	team->running++;
	queue->running++;
}

uint64_t jh_fair_queue_take(jh_fair_queue_t *queue, int64_t now_us)
{
	team_t *next = NULL;
	item_t *item;
	uint64_t number;
	unsigned i;

	for (i = 0; i < queue->teams->len; i++) {
		team_t *team = g_ptr_array_index(queue->teams, i);

		if (team->items.length > 0 && (!next || team->virtual_us < next->virtual_us))
			next = team;
	}
	if (!next)
		return 0;
	item = g_queue_pop_head(&next->items);
	number = item->number;
	team_learn_wait(next, item, now_us);
	g_free(item);
	queue->length--;
	team_start(queue, next);
	return number;
}

bool jh_fair_queue_remove(jh_fair_queue_t *queue, const char *name, uint64_t number)
{
	team_t *team = team_find(queue, name);
	GList *node;

	for (node = team ? team->items.head : NULL; node; node = node->next) {
		if (((item_t *)node->data)->number == number) {
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
	team_start(queue, team_get(queue, name, weight));
}

void jh_fair_queue_finish(jh_fair_queue_t *queue, const char *name, int64_t run_us)
{
	team_t *team = team_find(queue, name);

	g_return_if_fail(team && team->running > 0);
	/* What was charged at the start is settled; several in flight settle to the same sum only
	 * roughly, since the average moves meanwhile. */
	team->virtual_us += ((double)run_us - team->average_us) / team->weight;
	team->average_us += ((double)run_us - team->average_us) * AVERAGE_PART;
	team->running--;
	queue->running--;
}

unsigned jh_fair_queue_length(const jh_fair_queue_t *queue)
{
	return queue->length;
}
