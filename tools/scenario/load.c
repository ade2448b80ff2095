/*
 * Load generator of a scenario: many libpq clients in C, so that the script's interpreter does not
 * bound the rate. Closed loop (each client sends when it has its answer) or open loop (arrivals at
 * a fixed rate; one that finds all clients busy waits, and its latency counts from its arrival).
 */

#include "scenario.h"

#include <libpq-fe.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Histogram: a power of two is split into this many buckets, for about 3% relative precision. */
#define SUB_BITS 5
#define SUB_BUCKETS (1u << SUB_BITS)
#define BUCKETS (40u * SUB_BUCKETS)

#define US_PER_S 1e6
#define RECONNECT_S 0.05

typedef struct load load_t;

typedef struct client {
	load_t *load;
	unsigned number;
	PGconn *conn;
	ev_io io;
	ev_timer reconnect;
	bool connecting;
	bool busy;
	bool failed;
	char code[6];
	int64_t due_us;
} client_t;

struct load {
	fiber_t *waiter;
	client_t *clients;
	unsigned count;
	GPtrArray *dsns;
	char *sql;
	char *id_prefix;
	uint64_t next_id;
	double rate;
	int64_t start_us;
	int64_t end_us;
	/* Open loop: arrivals that no client has taken yet. */
	GQueue arrivals;
	uint64_t arrived;
	ev_timer ticker;
	uint64_t ok;
	uint64_t failed;
	GHashTable *codes;
	uint64_t buckets[BUCKETS];
	int64_t max_us;
	int64_t last_ok_us;
	int64_t longest_gap_us;
};

/* ---- histogram ---- */

static unsigned bucket_of(int64_t us)
{
	uint64_t value = us > 0 ? (uint64_t)us : 0;
	unsigned shift;

	if (value < SUB_BUCKETS)
		return (unsigned)value;
	shift = 63u - (unsigned)__builtin_clzll(value) - SUB_BITS;
	return MIN((shift + 1) * SUB_BUCKETS + (unsigned)(value >> shift) - SUB_BUCKETS,
		   BUCKETS - 1);
}

static double bucket_middle(unsigned bucket)
{
	unsigned shift;

	if (bucket < SUB_BUCKETS)
		return bucket;
	shift = bucket / SUB_BUCKETS - 1;
	return ldexp(bucket % SUB_BUCKETS + SUB_BUCKETS + 0.5, (int)shift);
}

static double load_percentile(const load_t *load, double share)
{
	uint64_t wanted = (uint64_t)ceil(share * (double)load->ok);
	uint64_t seen = 0;
	unsigned i;

	for (i = 0; i < BUCKETS; i++) {
		seen += load->buckets[i];
		if (seen >= wanted && seen > 0)
			return bucket_middle(i);
	}
	return 0;
}

/* ---- statements ---- */

static void client_watch(client_t *client, int events)
{
	ev_io_stop(scenario_loop, &client->io);
	if (events && PQsocket(client->conn) >= 0) {
		ev_io_set(&client->io, PQsocket(client->conn), events);
		ev_io_start(scenario_loop, &client->io);
	}
}

static void client_drop(client_t *client)
{
	ev_io_stop(scenario_loop, &client->io);
	PQfinish(g_steal_pointer(&client->conn));
	client->busy = false;
	ev_timer_stop(scenario_loop, &client->reconnect);
	ev_timer_set(&client->reconnect, RECONNECT_S, 0);
	ev_timer_start(scenario_loop, &client->reconnect);
}

static void load_count_code(load_t *load, const char *code)
{
	uint64_t *count = g_hash_table_lookup(load->codes, code);

	if (!count) {
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(load->codes, g_strdup(code), count);
	}
	(*count)++;
	load->failed++;
}

/* "{id}" becomes a key that no other statement of any load has. */
static char *load_statement(load_t *load)
{
	char *id = g_strdup_printf("%s-%" G_GUINT64_FORMAT, load->id_prefix, load->next_id++);
	char **parts = g_strsplit(load->sql, "{id}", -1);
	char *sql = g_strjoinv(id, parts);

	g_strfreev(parts);
	g_free(id);
	return sql;
}

static void client_send(client_t *client, int64_t due_us)
{
	char *sql = load_statement(client->load);

	client->busy = true;
	client->failed = false;
	client->due_us = due_us;
	if (PQsendQuery(client->conn, sql)) {
		PQflush(client->conn);
		client_watch(client, EV_READ);
	} else {
		load_count_code(client->load, "08006");
		client_drop(client);
	}
	g_free(sql);
}

/* Give a free client its next statement, if one is due. */
static void client_next(client_t *client)
{
	load_t *load = client->load;
	int64_t now_us = g_get_monotonic_time();
	int64_t *due;

	if (client->busy || client->connecting || !client->conn || now_us >= load->end_us)
		return;
	if (load->rate <= 0) {
		client_send(client, now_us);
		return;
	}
	due = g_queue_pop_head(&load->arrivals);
	if (due) {
		client_send(client, *due);
		g_free(due);
	} else {
		/* Idle clients notice a connection that the server closed. */
		client_watch(client, EV_READ);
	}
}

static void client_done(client_t *client)
{
	load_t *load = client->load;
	int64_t now_us = g_get_monotonic_time();
	int64_t took_us = now_us - client->due_us;

	client->busy = false;
	if (client->failed) {
		load_count_code(load, client->code);
	} else {
		load->ok++;
		load->buckets[bucket_of(took_us)]++;
		load->max_us = MAX(load->max_us, took_us);
		load->longest_gap_us = MAX(load->longest_gap_us, now_us - load->last_ok_us);
		load->last_ok_us = now_us;
	}
	if (PQstatus(client->conn) == CONNECTION_BAD)
		client_drop(client);
	else
		client_next(client);
}

static void client_read(client_t *client)
{
	PGresult *result;

	if (!PQconsumeInput(client->conn)) {
		if (client->busy)
			load_count_code(client->load, "08006");
		client_drop(client);
		return;
	}
	if (!client->busy)
		return;
	while (!PQisBusy(client->conn)) {
		result = PQgetResult(client->conn);
		if (!result) {
			client_done(client);
			return;
		}
		if (PQresultStatus(result) == PGRES_FATAL_ERROR && !client->failed) {
			const char *code = PQresultErrorField(result, PG_DIAG_SQLSTATE);

			client->failed = true;
			g_strlcpy(client->code, code ? code : "08006", sizeof(client->code));
		}
		PQclear(result);
	}
}

static void client_connect_step(client_t *client)
{
	switch (PQconnectPoll(client->conn)) {
	case PGRES_POLLING_READING:
		client_watch(client, EV_READ);
		return;
	case PGRES_POLLING_WRITING:
		client_watch(client, EV_WRITE);
		return;
	case PGRES_POLLING_OK:
		client->connecting = false;
		client_watch(client, 0);
		client_next(client);
		return;
	default:
		client->connecting = false;
		client_drop(client);
	}
}

static void on_client(struct ev_loop *loop, ev_io *watcher, int events)
{
	client_t *client = watcher->data;

	(void)loop;
	(void)events;
	if (client->connecting)
		client_connect_step(client);
	else
		client_read(client);
}

static void ignore_notice(void *data, const char *message)
{
	(void)data;
	(void)message;
}

static void on_reconnect(struct ev_loop *loop, ev_timer *watcher, int events)
{
	client_t *client = watcher->data;
	const load_t *load = client->load;

	(void)loop;
	(void)events;
	if (g_get_monotonic_time() >= load->end_us)
		return;
	client->conn =
		PQconnectStart(g_ptr_array_index(load->dsns, client->number % load->dsns->len));
	PQsetNoticeProcessor(client->conn, ignore_notice, NULL);
	client->connecting = true;
	if (PQstatus(client->conn) == CONNECTION_BAD) {
		client->connecting = false;
		client_drop(client);
	} else {
		client_watch(client, EV_WRITE);
	}
}

/* ---- the whole load ---- */

static bool load_is_busy(const load_t *load)
{
	unsigned i;

	for (i = 0; i < load->count; i++) {
		if (load->clients[i].busy)
			return true;
	}
	return false;
}

static void push_count(lua_State *state, const char *name, double value)
{
	lua_pushnumber(state, value);
	lua_setfield(state, -2, name);
}

static void load_push_result(lua_State *state, const load_t *load)
{
	double seconds = (double)(load->end_us - load->start_us) / US_PER_S;
	GHashTableIter iter;
	gpointer code;
	gpointer count;

	lua_newtable(state);
	push_count(state, "ok", (double)load->ok);
	push_count(state, "failed", (double)load->failed);
	push_count(state, "rate", (double)load->ok / seconds);
	push_count(state, "p50_us", load_percentile(load, 0.50));
	push_count(state, "p90_us", load_percentile(load, 0.90));
	push_count(state, "p99_us", load_percentile(load, 0.99));
	push_count(state, "p999_us", load_percentile(load, 0.999));
	push_count(state, "max_us", (double)load->max_us);
	push_count(state, "gap_us", (double)load->longest_gap_us);
	lua_newtable(state);
	g_hash_table_iter_init(&iter, load->codes);
	while (g_hash_table_iter_next(&iter, &code, &count)) {
		lua_pushnumber(state, (double)*(uint64_t *)count);
		lua_setfield(state, -2, code);
	}
	lua_setfield(state, -2, "codes");
}

static void load_free(load_t *load)
{
	unsigned i;

	ev_timer_stop(scenario_loop, &load->ticker);
	for (i = 0; i < load->count; i++) {
		client_t *client = &load->clients[i];

		ev_io_stop(scenario_loop, &client->io);
		ev_timer_stop(scenario_loop, &client->reconnect);
		if (client->conn)
			PQfinish(client->conn);
	}
	g_queue_clear_full(&load->arrivals, g_free);
	g_ptr_array_free(load->dsns, TRUE);
	g_hash_table_destroy(load->codes);
	g_free(load->clients);
	g_free(load->sql);
	g_free(load->id_prefix);
	g_free(load);
}

static void load_add_arrivals(load_t *load, int64_t now_us)
{
	while (now_us < load->end_us) {
		int64_t due_us =
			load->start_us + (int64_t)((double)load->arrived / load->rate * US_PER_S);

		if (due_us > now_us)
			return;
		g_queue_push_tail(&load->arrivals, g_memdup2(&due_us, sizeof(due_us)));
		load->arrived++;
	}
}

/* Every millisecond: bring arrivals in, and end the load once its last answers are there. */
static void on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	load_t *load = watcher->data;
	int64_t now_us = g_get_monotonic_time();
	unsigned i;

	(void)loop;
	(void)events;
	if (load->rate > 0) {
		load_add_arrivals(load, now_us);
		for (i = 0; i < load->count && load->arrivals.length > 0; i++)
			client_next(&load->clients[i]);
	}
	if (now_us >= load->end_us && !load_is_busy(load)) {
		fiber_t *waiter = load->waiter;

		load_push_result(waiter->state, load);
		load_free(load);
		fiber_resume(waiter, 1);
	}
}

static void load_read_options(lua_State *state, load_t *load)
{
	static unsigned loads;
	lua_Integer i;

	lua_getfield(state, 1, "dsns");
	for (i = 1; lua_rawgeti(state, -1, i) != LUA_TNIL; i++) {
		g_ptr_array_add(load->dsns, g_strdup(luaL_checkstring(state, -1)));
		lua_pop(state, 1);
	}
	lua_getfield(state, 1, "sql");
	load->sql = g_strdup(luaL_checkstring(state, -1));
	lua_getfield(state, 1, "clients");
	load->count = (unsigned)luaL_checkinteger(state, -1);
	lua_getfield(state, 1, "rate");
	load->rate = luaL_optnumber(state, -1, 0);
	lua_getfield(state, 1, "seconds");
	load->start_us = g_get_monotonic_time();
	load->last_ok_us = load->start_us;
	load->end_us = load->start_us + (int64_t)(luaL_checknumber(state, -1) * US_PER_S);
	load->id_prefix = g_strdup_printf("load%u", loads++);
}

/*
 * load_run{dsns=, sql=, clients=, seconds=, rate=} -> {ok, failed, codes, rate, p50_us, ... gap_us}
 * gap_us is the longest time without any successful answer.
 */
static int api_load(lua_State *state)
{
	load_t *load = g_new0(load_t, 1);
	unsigned i;

	load->dsns = g_ptr_array_new_with_free_func(g_free);
	load->codes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&load->arrivals);
	load_read_options(state, load);
	load->waiter = fiber_current(state);
	load->clients = g_new0(client_t, load->count);
	for (i = 0; i < load->count; i++) {
		client_t *client = &load->clients[i];

		client->load = load;
		client->number = i;
		ev_init(&client->io, on_client);
		client->io.data = client;
		ev_timer_init(&client->reconnect, on_reconnect, 0, 0);
		client->reconnect.data = client;
		ev_timer_start(scenario_loop, &client->reconnect);
	}
	ev_timer_init(&load->ticker, on_tick, 0.001, 0.001);
	load->ticker.data = load;
	ev_timer_start(scenario_loop, &load->ticker);
	return fiber_wait(load->waiter);
}

void load_open(lua_State *state)
{
	lua_pushcfunction(state, api_load);
	lua_setglobal(state, "load_run");
}
