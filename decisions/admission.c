/*
 * Admission of the statements of a group.
 *
 * Each lane has a level for each priority, and each level two fair queues: statements that can
 * still meet their target, and late ones. Levels are served in the order of their priority, in each
 * of them first those on time, fairly by team. One start in AGED_START_INTERVAL is reserved for the
 * statement that waits longest, once it has used half of its time, so that a low priority does not
 * starve.
 *
 * A statement's expected wait is the queued work that is served before it, divided by the number
 * of slots. Run times are those for which statements occupy their connections, divided by the
 * number of them that share a slot: they include the round trip, the opening of a connection, and
 * the wait for statements of other VMs in the member's own queue. As statements that are served
 * before may arrive later, the estimates of each queue are multiplied by a moving average of the
 * ratio of measured to expected waits. A statement that still waits after its expected wait counts,
 * too: an average of those served would not show that the others are never reached.
 */
#include "jh_admission.h"

#include "jh_fair_queue.h"

#include <math.h>
#include <string.h>

/* Time for which a statement is assumed to occupy a slot before one was observed. */
#define DEFAULT_RUN_US 20000.0
/* Weight of a new value in the exponential moving averages. */
#define AVERAGE_WEIGHT 0.125
/* Bounds of the factor that corrects a queue's estimated waits. */
#define WAIT_CORRECTION_MIN 0.5
#define WAIT_CORRECTION_MAX 8.0
/*
 * The factor approaches 1 with this half-life, microseconds. Without that, a queue to which a high
 * factor admits no statement would get no new measurement, either.
 */
#define WAIT_CORRECTION_HALF_LIFE_US (1000 * INT64_C(1000))

/*
 * A run time counts as at most this many times the average: one statement on a member that hangs
 * must not stand for hundreds of others.
 */
#define RUN_OUTLIER_FACTOR 4.0

/* Deviations that are added to the average run time to tell whether a statement ends in time. */
#define RUN_DEVIATIONS 4.0

/*
 * An estimate is multiplied by this before a statement is admitted, but not when it is made again:
 * a caller that is held and then refused is worse off than one that is refused at once.
 */
#define ADMISSION_MARGIN 1.25

/* One start in so many is reserved for the statement that waits longest. */
#define AGED_START_INTERVAL 8u

/* Bounds of the time after which a refused caller is told to return, microseconds. */
#define RETRY_MIN_US (10 * INT64_C(1000))
#define RETRY_MAX_US (2000 * INT64_C(1000))
/* The same if it is not known when statements can be sent again. */
#define RETRY_UNKNOWN_US (500 * INT64_C(1000))

/* Duration of an outage before one was observed, microseconds: that of a change of primary. */
#define OUTAGE_DEFAULT_US (1500 * INT64_C(1000))
/* A longer outage counts as one of this duration, microseconds: something else went wrong in it. */
#define OUTAGE_MAX_US (4 * OUTAGE_DEFAULT_US)
/* Share of its duration for which an outage that lasts longer than usual is expected to go on. */
#define OUTAGE_OVERRUN_DIVISOR 4

/* Priorities are limited to this range, so that their number is bounded. */
#define PRIORITY_MIN (-8)
#define PRIORITY_MAX 8

/* The two fair queues of a level. */
enum {
	ON_TIME,
	LATE,
	CLASS_COUNT
};

typedef struct lane lane_t;

/* A factor that corrects estimated waits, and when it was set. */
typedef struct correction {
	double factor;
	int64_t set_us;
} correction_t;

typedef struct level {
	lane_t *lane;
	int priority;
	jh_fair_queue_t *queues[CLASS_COUNT];
	/* item_t, in the order of arrival in the queue. */
	GQueue items;
	/* Teams that are passed over in this pass. */
	GHashTable *skipped;
	correction_t corrections[CLASS_COUNT];
	/* correction_t[CLASS_COUNT] by team: one that uses more than its share waits longer. */
	GHashTable *team_corrections;
	/* Of the statements of this level, which differ from those of others. */
	double run_us;
	double run_deviation_us;
} level_t;

struct lane {
	jh_admission_capacity_t capacity;
	/* level_t, by priority */
	GPtrArray *levels;
	unsigned waiting;
	unsigned running;
	/* Sum of the moments at which the running statements have started. */
	int64_t started_sum_us;
	double run_us;
	/* Place that the next refused caller is told, at the earliest. */
	int64_t next_place_us;
	unsigned starts;
};

typedef struct item {
	jh_admission_request_t request;
	level_t *level;
	GList *link;
	int64_t queued_us;
	/* When it was added to its present fair queue. */
	int64_t offered_us;
	/* Expected wait before the correction; 0 if it is not to be compared with the measured one.
	 */
	double expected_us;
	/* Expected wait when the estimates were last made again. */
	double wait_us;
	int class;
} item_t;

struct jh_admission {
	lane_t lanes[JH_LANE_COUNT];
	/* item_t by the id of its request. */
	GHashTable *items;
};

/* ---- lanes and levels ---- */

static void level_free(void *data)
{
	level_t *level = data;
	int class;

	for (class = 0; class < CLASS_COUNT; class ++)
		jh_fair_queue_free(level->queues[class]);
	g_queue_clear(&level->items);
	g_hash_table_destroy(level->skipped);
	g_hash_table_destroy(level->team_corrections);
	g_free(level);
}

jh_admission_t *jh_admission_new(void)
{
	jh_admission_t *admission = g_new0(jh_admission_t, 1);
	int i;

	admission->items = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	for (i = 0; i < JH_LANE_COUNT; i++) {
		admission->lanes[i].levels = g_ptr_array_new_with_free_func(level_free);
		admission->lanes[i].run_us = DEFAULT_RUN_US;
	}
	return admission;
}

void jh_admission_free(jh_admission_t *admission)
{
	int i;

	if (!admission)
		return;
	for (i = 0; i < JH_LANE_COUNT; i++)
		g_ptr_array_free(admission->lanes[i].levels, TRUE);
	g_hash_table_destroy(admission->items);
	g_free(admission);
}

/* The wait for a lane to open says nothing about the estimates of its queue. */
static void forget_expected_waits(const lane_t *lane)
{
	unsigned i;

	for (i = 0; i < lane->levels->len; i++) {
		const level_t *level = g_ptr_array_index(lane->levels, i);
		const GList *link;

		for (link = level->items.head; link; link = link->next)
			((item_t *)link->data)->expected_us = 0;
	}
}

void jh_admission_set_capacity(jh_admission_t *admission, jh_admission_lane_t lane,
			       const jh_admission_capacity_t *capacity)
{
	if (capacity->opens_us != 0 && admission->lanes[lane].capacity.opens_us == 0)
		forget_expected_waits(&admission->lanes[lane]);
	admission->lanes[lane].capacity = *capacity;
}

static level_t *get_level(lane_t *lane, int priority)
{
	level_t *level;
	unsigned i;
	int class;

	priority = CLAMP(priority, PRIORITY_MIN, PRIORITY_MAX);
	for (i = 0; i < lane->levels->len; i++) {
		level = g_ptr_array_index(lane->levels, i);
		if (level->priority == priority)
			return level;
		if (level->priority > priority)
			break;
	}
	level = g_new0(level_t, 1);
	level->lane = lane;
	level->priority = priority;
	level->skipped = g_hash_table_new(NULL, NULL);
	level->team_corrections = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	level->run_us = lane->run_us;
	g_queue_init(&level->items);
	for (class = 0; class < CLASS_COUNT; class ++) {
		level->queues[class] = jh_fair_queue_new(1, G_MAXUINT);
		level->corrections[class].factor = 1.0;
	}
	g_ptr_array_insert(lane->levels, (int)i, level);
	return level;
}

/* ---- estimates ---- */

static unsigned lane_slots(const lane_t *lane)
{
	return MAX(MIN(lane->capacity.slots, lane->capacity.connections), 1);
}

/* Return: number of statements that share a slot while @running are under way */
static double slot_load(const lane_t *lane, unsigned running)
{
	return MAX((double)running / lane_slots(lane), 1.0);
}

/*
 * Time for which a statement occupies a slot. If those under way have been so for longer on
 * average, the member has become slow or hangs, and the statements that have ended do not show it.
 */
static double lane_run_us(const lane_t *lane, int64_t now_us)
{
	double elapsed_us = 0;

	if (lane->running > 0)
		elapsed_us = ((double)now_us - (double)lane->started_sum_us / lane->running) /
			     slot_load(lane, lane->running);
	return MAX(lane->run_us, elapsed_us);
}

/* Time from the sending of a statement to its end, while all connections are in use. */
static double level_end_us(const level_t *level, int64_t now_us)
{
	const lane_t *lane = level->lane;
	double run_us = level->run_us + RUN_DEVIATIONS * level->run_deviation_us;

	run_us *= lane_run_us(lane, now_us) / lane->run_us;
	return run_us * slot_load(lane, lane->capacity.connections);
}

static int64_t opens_in_us(const lane_t *lane, int64_t now_us)
{
	if (lane->capacity.opens_us == JH_ADMISSION_NEVER)
		return JH_ADMISSION_NEVER;
	return MAX(lane->capacity.opens_us - now_us, 0);
}

/* Return: work, on one slot, that is served before the queue @class of @level */
static double work_before(const level_t *level, int class)
{
	const lane_t *lane = level->lane;
	double work_us = 0;
	unsigned i;

	for (i = 0; i < lane->levels->len; i++) {
		const level_t *other = g_ptr_array_index(lane->levels, i);

		if (other->priority >= level->priority)
			break;
		work_us += (double)jh_fair_queue_work_us(other->queues[ON_TIME]) +
			   (double)jh_fair_queue_work_us(other->queues[LATE]);
	}
	if (class == LATE)
		work_us += (double)jh_fair_queue_work_us(level->queues[ON_TIME]);
	return work_us;
}

/*
 * Wait of a statement with @work_us queued before it, without the time until the lane opens. Where
 * connections are free, the first statements take these.
 */
static double wait_for_work(const lane_t *lane, double work_us, bool must_wait, int64_t now_us)
{
	double run_us = lane_run_us(lane, now_us);
	unsigned connections = MAX(lane->capacity.connections, 1);
	unsigned free_count = connections > lane->running ? connections - lane->running : 0;

	work_us *= run_us / lane->run_us;
	if (free_count == 0 || must_wait)
		work_us += run_us;
	else
		work_us = MAX(work_us - (free_count - 1) * run_us, 0);
	return work_us / lane_slots(lane);
}

static double add_opening(const lane_t *lane, double wait_us, int64_t now_us)
{
	int64_t opens_us = opens_in_us(lane, now_us);

	return opens_us == JH_ADMISSION_NEVER ? (double)JH_ADMISSION_NEVER :
						wait_us + (double)opens_us;
}

static int64_t to_wait_us(double wait_us)
{
	return wait_us >= (double)JH_ADMISSION_NEVER ? JH_ADMISSION_NEVER : (int64_t)wait_us;
}

static double decay(const correction_t *correction, double to, int64_t now_us)
{
	double age_us = (double)(now_us - correction->set_us);

	return to + (correction->factor - to) * exp2(-age_us / WAIT_CORRECTION_HALF_LIFE_US);
}

/* Return: factor of the team's statements, which approaches that of the level */
static double get_correction(const level_t *level, int class, const char *team, int64_t now_us)
{
	const correction_t *own = g_hash_table_lookup(level->team_corrections, team);
	double common = decay(&level->corrections[class], 1.0, now_us);

	return own ? decay(&own[class], common, now_us) : common;
}

static void correct(correction_t *correction, double from, double ratio, int64_t now_us)
{
	double factor = from + (MIN(ratio, WAIT_CORRECTION_MAX) - from) * AVERAGE_WEIGHT;

	correction->factor = CLAMP(factor, WAIT_CORRECTION_MIN, WAIT_CORRECTION_MAX);
	correction->set_us = now_us;
}

static void add_wait_ratio(level_t *level, int class, const char *team, double ratio,
			   int64_t now_us)
{
	correction_t *own = g_hash_table_lookup(level->team_corrections, team);
	double own_factor = get_correction(level, class, team, now_us);
	correction_t *common = &level->corrections[class];

	if (!own) {
		own = g_new(correction_t, CLASS_COUNT);
		memcpy(own, level->corrections, sizeof(level->corrections));
		g_hash_table_insert(level->team_corrections, (void *)team, own);
	}
	correct(&own[class], own_factor, ratio, now_us);
	correct(common, decay(common, 1.0, now_us), ratio, now_us);
}

/* Expected wait, before the correction, of one more statement in the queue @class of @level. */
static double estimate_new(const level_t *level, int class, const jh_admission_request_t *request,
			   int64_t now_us)
{
	double work_us = work_before(level, class) +
			 (double)jh_fair_queue_work_ahead_us(level->queues[class], request->team);

	return wait_for_work(level->lane, work_us, request->must_wait, now_us);
}

/* Expected wait, corrected and with the time until the lane opens, of one more statement. */
static double estimate_wait(const level_t *level, int class, const jh_admission_request_t *request,
			    int64_t now_us)
{
	double wait_us = estimate_new(level, class, request, now_us) *
			 get_correction(level, class, request->team, now_us);

	return add_opening(level->lane, wait_us, now_us);
}

int64_t jh_admission_expected_wait_us(const jh_admission_t *admission, jh_admission_lane_t number,
				      int priority, int64_t now_us)
{
	const jh_admission_request_t request = { .team = "" };
	const lane_t *lane = &admission->lanes[number];
	double wait_us = add_opening(lane, 0, now_us);
	unsigned i;

	for (i = 0; i < lane->levels->len; i++) {
		const level_t *level = g_ptr_array_index(lane->levels, i);

		if (level->priority <= priority)
			wait_us = estimate_wait(level, ON_TIME, &request, now_us);
	}
	return to_wait_us(wait_us);
}

unsigned jh_admission_limit(const jh_admission_t *admission, jh_admission_lane_t number,
			    int64_t left_us, int64_t now_us)
{
	const lane_t *lane = &admission->lanes[number];
	double run_us = lane_run_us(lane, now_us);
	int64_t opens_us = opens_in_us(lane, now_us);
	double left;

	if (opens_us == JH_ADMISSION_NEVER)
		return 0;
	left = ((double)left_us - (double)opens_us - run_us) / ADMISSION_MARGIN;
	return left > 0 ? (unsigned)(left * lane_slots(lane) / run_us) : 0;
}

/* ---- refusals ---- */

/*
 * Assigns the next place to a refused caller: not before the lane opens, or before the queue has
 * become so short that the statement would meet its target, and one place for each time in which a
 * slot becomes free.
 */
static int64_t assign_place(const level_t *level, const jh_admission_request_t *request,
			    double wait_us, int64_t now_us)
{
	lane_t *lane = level->lane;
	double run_us = lane_run_us(lane, now_us);
	int64_t opens_us = opens_in_us(lane, now_us);
	double excess_us = wait_us + level_end_us(level, now_us) -
			   (double)MAX(request->target_us - request->arrived_us, 0);
	int64_t first_us;
	int64_t place_us;

	if (opens_us == JH_ADMISSION_NEVER)
		first_us = now_us + RETRY_UNKNOWN_US;
	else
		first_us = now_us + MAX((int64_t)MAX(excess_us, 0), MAX(opens_us, RETRY_MIN_US));
	first_us = MIN(first_us, now_us + RETRY_MAX_US);
	place_us = MAX(first_us, lane->next_place_us);
	/* Beyond the bound the places begin again, which spreads the callers all the same. */
	if (place_us > now_us + RETRY_MAX_US)
		place_us = first_us;
	lane->next_place_us = place_us + (int64_t)(run_us / lane_slots(lane));
	return place_us - now_us;
}

int64_t jh_admission_retry_us(jh_admission_t *admission, const jh_admission_request_t *request,
			      int64_t now_us)
{
	lane_t *lane = &admission->lanes[request->lane];
	const level_t *level = get_level(lane, request->priority);

	return assign_place(level, request, estimate_wait(level, LATE, request, now_us), now_us);
}

/* ---- decisions ---- */

static bool can_run_now(const lane_t *lane, int64_t now_us)
{
	return opens_in_us(lane, now_us) == 0 && lane->waiting == 0 &&
	       lane->running < lane->capacity.connections;
}

/* Return: true if a statement that is sent after @wait_us is expected to end by @until_us */
static bool ends_by(const level_t *level, double wait_us, int64_t until_us, int64_t now_us)
{
	return (double)now_us + wait_us + level_end_us(level, now_us) <= (double)until_us;
}

jh_admission_decision_t jh_admission_decide(jh_admission_t *admission,
					    const jh_admission_request_t *request, int64_t now_us)
{
	lane_t *lane = &admission->lanes[request->lane];
	const level_t *level = get_level(lane, request->priority);
	jh_admission_decision_t decision = { .result = JH_ADMISSION_WAIT, .queued = lane->waiting };
	double wait_us;

	if (!request->must_wait && can_run_now(lane, now_us)) {
		decision.result = JH_ADMISSION_RUN;
		return decision;
	}
	wait_us = estimate_wait(level, ON_TIME, request, now_us);
	if (!ends_by(level, wait_us * ADMISSION_MARGIN, request->target_us, now_us)) {
		decision.is_late = true;
		wait_us = estimate_wait(level, LATE, request, now_us);
	}
	decision.wait_us = to_wait_us(wait_us);
	if (decision.is_late &&
	    !ends_by(level, wait_us * ADMISSION_MARGIN, request->limit_us, now_us)) {
		decision.result = JH_ADMISSION_REFUSE;
		decision.retry_us = assign_place(level, request, wait_us, now_us);
	}
	return decision;
}

/* ---- waiting statements ---- */

/* Adds an item to the fair queue of its class. */
static void offer(item_t *item, int64_t now_us)
{
	jh_fair_queue_t *queue = item->level->queues[item->class];

	item->offered_us = now_us;
	item->expected_us = item->level->lane->capacity.opens_us != 0 ?
				    0 :
				    estimate_new(item->level, item->class, &item->request, now_us);
	jh_fair_queue_set_default_run_us(queue, (int64_t)item->level->run_us);
	jh_fair_queue_offer(queue, item->request.team, 1.0, item->request.id, now_us,
			    G_MAXINT64 / 2);
}

void jh_admission_enqueue(jh_admission_t *admission, const jh_admission_request_t *request,
			  const jh_admission_decision_t *decision, int64_t now_us)
{
	lane_t *lane = &admission->lanes[request->lane];
	item_t *item = g_new0(item_t, 1);

	g_return_if_fail(!g_hash_table_contains(admission->items, &request->id));
	item->request = *request;
	item->level = get_level(lane, request->priority);
	item->queued_us = now_us;
	item->class = decision->is_late ? LATE : ON_TIME;
	offer(item, now_us);
	g_queue_push_tail(&item->level->items, item);
	item->link = item->level->items.tail;
	lane->waiting++;
	g_hash_table_insert(admission->items, &item->request.id, item);
}

/* Frees an item that is in no fair queue any more. */
static void forget(jh_admission_t *admission, item_t *item)
{
	g_queue_delete_link(&item->level->items, item->link);
	item->level->lane->waiting--;
	g_hash_table_remove(admission->items, &item->request.id);
}

bool jh_admission_remove(jh_admission_t *admission, uint64_t id)
{
	item_t *item = g_hash_table_lookup(admission->items, &id);

	if (!item)
		return false;
	jh_fair_queue_remove(item->level->queues[item->class], item->request.team, id);
	forget(admission, item);
	return true;
}

void jh_admission_foreach(const jh_admission_t *admission, jh_admission_visit_t visit, void *data)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, admission->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(((const item_t *)value)->request.id, data);
}

/* ---- order ---- */

void jh_admission_begin_pass(jh_admission_t *admission)
{
	unsigned i;
	int n;

	for (n = 0; n < JH_LANE_COUNT; n++) {
		for (i = 0; i < admission->lanes[n].levels->len; i++) {
			level_t *level = g_ptr_array_index(admission->lanes[n].levels, i);

			g_hash_table_remove_all(level->skipped);
		}
	}
}

void jh_admission_skip(jh_admission_t *admission, uint64_t id)
{
	const item_t *item = g_hash_table_lookup(admission->items, &id);

	if (item)
		g_hash_table_add(item->level->skipped, (void *)item->request.team);
}

/* Return: the item that waits longest, once it has used half of its time; NULL if there is none */
static const item_t *find_aged(const lane_t *lane, int64_t now_us)
{
	const item_t *oldest = NULL;
	unsigned i;

	for (i = 0; i < lane->levels->len; i++) {
		const level_t *level = g_ptr_array_index(lane->levels, i);
		const item_t *item = g_queue_peek_head((GQueue *)&level->items);

		if (item && (!oldest || item->queued_us < oldest->queued_us))
			oldest = item;
	}
	if (!oldest || g_hash_table_contains(oldest->level->skipped, oldest->request.team) ||
	    now_us - oldest->request.arrived_us < oldest->request.limit_us - now_us)
		return NULL;
	return oldest;
}

static uint64_t find_next(const lane_t *lane)
{
	unsigned i;
	int class;

	for (i = 0; i < lane->levels->len; i++) {
		const level_t *level = g_ptr_array_index(lane->levels, i);

		for (class = 0; class < CLASS_COUNT; class ++) {
			uint64_t id = jh_fair_queue_peek(level->queues[class], level->skipped);

			if (id != 0)
				return id;
		}
	}
	return 0;
}

uint64_t jh_admission_next(jh_admission_t *admission, int64_t now_us)
{
	int n;

	for (n = 0; n < JH_LANE_COUNT; n++) {
		const lane_t *lane = &admission->lanes[n];
		const item_t *aged = NULL;
		uint64_t id;

		/* A position can arrive before the primary can be used. */
		if (lane->waiting == 0 || (n != JH_LANE_POSITION && opens_in_us(lane, now_us) > 0))
			continue;
		if (lane->starts % AGED_START_INTERVAL == AGED_START_INTERVAL - 1)
			aged = find_aged(lane, now_us);
		id = aged ? aged->request.id : find_next(lane);
		if (id != 0)
			return id;
	}
	return 0;
}

static jh_admission_ticket_t count_start(lane_t *lane, const jh_admission_request_t *request,
					 int class, int64_t now_us)
{
	lane->running++;
	lane->starts++;
	lane->started_sum_us += now_us;
	return (jh_admission_ticket_t){ .team = request->team,
					.lane = request->lane,
					.priority = request->priority,
					.is_late = class == LATE,
					.started_us = now_us };
}

/* Compares the expected wait with the measured one, to which @left_us is to be added. */
static void update_correction(const item_t *item, double left_us, int64_t now_us)
{
	double waited_us = (double)(now_us - item->offered_us) + left_us;

	if (item->expected_us > 0)
		add_wait_ratio(item->level, item->class, item->request.team,
			       waited_us / item->expected_us, now_us);
}

jh_admission_ticket_t jh_admission_take(jh_admission_t *admission, uint64_t id, int64_t now_us)
{
	item_t *item = g_hash_table_lookup(admission->items, &id);
	jh_fair_queue_t *queue;
	jh_admission_ticket_t ticket;

	g_return_val_if_fail(item, (jh_admission_ticket_t){ 0 });
	queue = item->level->queues[item->class];
	update_correction(item, 0, now_us);
	/* The caller chose the first item of its team, as jh_admission_next() returned it. */
	if (jh_fair_queue_peek_team(queue, item->request.team) == id) {
		jh_fair_queue_take_team(queue, item->request.team, now_us);
	} else {
		jh_fair_queue_remove(queue, item->request.team, id);
		jh_fair_queue_start(queue, item->request.team, 1.0);
	}
	ticket = count_start(item->level->lane, &item->request, item->class, now_us);
	forget(admission, item);
	return ticket;
}

jh_admission_ticket_t jh_admission_start(jh_admission_t *admission,
					 const jh_admission_request_t *request, int64_t now_us)
{
	lane_t *lane = &admission->lanes[request->lane];
	level_t *level = get_level(lane, request->priority);

	jh_fair_queue_set_default_run_us(level->queues[ON_TIME], (int64_t)level->run_us);
	jh_fair_queue_start(level->queues[ON_TIME], request->team, 1.0);
	return count_start(lane, request, ON_TIME, now_us);
}

static void add_run_time(level_t *level, double run_us)
{
	double level_us = MIN(run_us, level->run_us * RUN_OUTLIER_FACTOR);
	double lane_us = MIN(run_us, level->lane->run_us * RUN_OUTLIER_FACTOR);
	double deviation_us = fabs(level_us - level->run_us);

	level->run_deviation_us += (deviation_us - level->run_deviation_us) * AVERAGE_WEIGHT;
	level->run_us += (level_us - level->run_us) * AVERAGE_WEIGHT;
	level->lane->run_us += (lane_us - level->lane->run_us) * AVERAGE_WEIGHT;
}

void jh_admission_finish(jh_admission_t *admission, jh_admission_ticket_t *ticket, bool is_complete,
			 int64_t now_us)
{
	lane_t *lane = &admission->lanes[ticket->lane];
	level_t *level;
	double run_us;

	if (!ticket->team)
		return;
	level = get_level(lane, ticket->priority);
	run_us = MAX((double)(now_us - ticket->started_us), 1.0) / slot_load(lane, lane->running);
	jh_fair_queue_finish(level->queues[ticket->is_late ? LATE : ON_TIME], ticket->team,
			     (int64_t)run_us);
	lane->running--;
	lane->started_sum_us -= ticket->started_us;
	if (is_complete)
		add_run_time(level, run_us);
	*ticket = (jh_admission_ticket_t){ 0 };
}

/* ---- estimates that are made again ---- */

/**
 * struct review - the items of a queue that are not expected to end by their target or limit
 * @before_us: work that is served before the queue
 * @removed_us: work of @overdue, which does not delay the items after them any more
 * @overdue: item_t *
 */
typedef struct review {
	const jh_admission_t *admission;
	const level_t *level;
	const lane_t *lane;
	int class;
	int64_t now_us;
	double before_us;
	double removed_us;
	GPtrArray *overdue;
} review_t;

static double review_wait_us(const review_t *review, const char *team, double ahead_us)
{
	double work_us = MAX(review->before_us + ahead_us - review->removed_us, 0);
	double wait_us = wait_for_work(review->lane, work_us, false, review->now_us);

	wait_us *= get_correction(review->level, review->class, team, review->now_us);
	return add_opening(review->lane, wait_us, review->now_us);
}

static void review_item(uint64_t id, int64_t ahead_us, void *data)
{
	review_t *review = data;
	item_t *item = g_hash_table_lookup(review->admission->items, &id);
	int64_t until_us = review->class == LATE ? item->request.limit_us : item->request.target_us;

	item->wait_us = review_wait_us(review, item->request.team, (double)ahead_us);
	if (ends_by(review->level, item->wait_us, until_us, review->now_us))
		return;
	g_ptr_array_add(review->overdue, item);
	review->removed_us += review->level->run_us;
}

/* Return: new array of item_t *, borrowed */
static GPtrArray *find_overdue(const jh_admission_t *admission, const level_t *level, int class,
			       int64_t now_us)
{
	review_t review = { .admission = admission,
			    .level = level,
			    .lane = level->lane,
			    .class = class,
			    .now_us = now_us,
			    .before_us = work_before(level, class),
			    .overdue = g_ptr_array_new() };

	jh_fair_queue_foreach(level->queues[class], review_item, &review);
	return review.overdue;
}

static void learn_from_overdue(const item_t *item, int64_t now_us)
{
	if ((double)(now_us - item->offered_us) > item->expected_us)
		update_correction(item, item->wait_us, now_us);
}

static void move_to_late(item_t *item, int64_t now_us)
{
	learn_from_overdue(item, now_us);
	jh_fair_queue_remove(item->level->queues[ON_TIME], item->request.team, item->request.id);
	item->class = LATE;
	offer(item, now_us);
}

static void expel(jh_admission_t *admission, item_t *item, int64_t now_us, GArray *refusals)
{
	lane_t *lane = item->level->lane;
	const jh_admission_refusal_t refusal = {
		.id = item->request.id,
		.decision = {
			.result = JH_ADMISSION_REFUSE,
			.is_late = true,
			.wait_us = to_wait_us(item->wait_us),
			.retry_us = assign_place(item->level, &item->request, item->wait_us, now_us),
			.queued = lane->waiting,
		},
	};

	learn_from_overdue(item, now_us);
	jh_admission_remove(admission, refusal.id);
	g_array_append_val(refusals, refusal);
}

static void review_level(jh_admission_t *admission, const level_t *level, int64_t now_us,
			 GArray *refusals)
{
	GPtrArray *overdue = find_overdue(admission, level, ON_TIME, now_us);
	unsigned i;

	for (i = 0; i < overdue->len; i++)
		move_to_late(g_ptr_array_index(overdue, i), now_us);
	g_ptr_array_free(overdue, TRUE);
	overdue = find_overdue(admission, level, LATE, now_us);
	for (i = 0; i < overdue->len; i++)
		expel(admission, g_ptr_array_index(overdue, i), now_us, refusals);
	g_ptr_array_free(overdue, TRUE);
}

void jh_admission_review(jh_admission_t *admission, int64_t now_us, GArray *refusals)
{
	unsigned i;
	int n;

	for (n = 0; n < JH_LANE_COUNT; n++) {
		for (i = 0; i < admission->lanes[n].levels->len; i++)
			review_level(admission, g_ptr_array_index(admission->lanes[n].levels, i),
				     now_us, refusals);
	}
}

unsigned jh_admission_length(const jh_admission_t *admission, jh_admission_lane_t lane)
{
	return admission->lanes[lane].waiting;
}

unsigned jh_admission_running(const jh_admission_t *admission, jh_admission_lane_t lane)
{
	return admission->lanes[lane].running;
}

/* ---- outages ---- */

void jh_outage_begin(jh_outage_estimate_t *estimate, int64_t now_us)
{
	if (estimate->began_us == 0)
		estimate->began_us = now_us;
}

int64_t jh_outage_usual_us(const jh_outage_estimate_t *estimate)
{
	return estimate->average_us == 0 ? OUTAGE_DEFAULT_US : estimate->average_us;
}

void jh_outage_end(jh_outage_estimate_t *estimate, bool is_counted, int64_t now_us)
{
	int64_t duration_us = MIN(now_us - estimate->began_us, OUTAGE_MAX_US);

	if (estimate->began_us == 0)
		return;
	estimate->began_us = 0;
	/* Half of the new value: changes are rare, and the cause of the last one may still exist.
	 */
	if (is_counted)
		estimate->average_us = (jh_outage_usual_us(estimate) + duration_us) / 2;
}

int64_t jh_outage_left_us(const jh_outage_estimate_t *estimate, int64_t now_us)
{
	int64_t elapsed_us = estimate->began_us == 0 ? 0 : now_us - estimate->began_us;

	return MAX(jh_outage_usual_us(estimate) - elapsed_us, elapsed_us / OUTAGE_OVERRUN_DIVISOR);
}
