/*
 * Load generator: many libpq clients in C, because the Lua interpreter would limit the rate.
 *
 * In a closed loop each client sends its next statement when the previous one has finished. In an
 * open loop statements arrive at a fixed rate. A statement that arrives while all clients are busy
 * waits in a queue, and its latency counts from its arrival.
 */

#include "scenario.h"

#include <libpq-fe.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Each power of two is split into HISTOGRAM_SUB_BUCKETS buckets: about 3% relative precision. */
#define HISTOGRAM_SUB_BITS 5
#define HISTOGRAM_SUB_BUCKETS (1u << HISTOGRAM_SUB_BITS)
#define HISTOGRAM_BUCKETS (40u * HISTOGRAM_SUB_BUCKETS)

#define US_PER_S 1e6
#define RECONNECT_DELAY_S 0.05

typedef struct load load_t;

typedef struct client {
	load_t *load;
	unsigned client_index;
	PGconn *conn;
	ev_io io;
	ev_timer connect_timer;
	bool is_connecting;
	bool is_busy;
	bool has_error;
	/* First error of the current statement: five characters and NUL. */
	char sqlstate[6];
	/* Monotonic time of the current statement's arrival; its latency counts from here. */
	int64_t arrival_us;
} client_t;

struct load {
	fiber_t *waiter;
	client_t *clients;
	unsigned client_count;
	GPtrArray *dsns;
	char *sql;
	char *id_prefix;
	uint64_t next_id;
	/* Arrivals per second in an open loop; 0 means closed loop. */
	double rate;
	int64_t start_us;
	int64_t end_us;
	/* Open loop: arrival times (int64_t, owned) of statements that wait for a free client. */
	GQueue arrivals;
	uint64_t arrival_count;
	ev_timer tick_timer;
	uint64_t ok_count;
	uint64_t error_count;
	/* From SQLSTATE (char *) to number of failed statements (uint64_t *). */
	GHashTable *errors_by_sqlstate;
	uint64_t buckets[HISTOGRAM_BUCKETS];
	int64_t max_us;
	int64_t last_ok_us;
	int64_t longest_ok_gap_us;
};

/* Latency histogram */

static unsigned bucket_from_latency(int64_t us)
{
	uint64_t value = us > 0 ? (uint64_t)us : 0;
	unsigned shift;

	if (value < HISTOGRAM_SUB_BUCKETS)
		return (unsigned)value;
	shift = 63u - (unsigned)__builtin_clzll(value) - HISTOGRAM_SUB_BITS;
	return MIN((shift + 1) * HISTOGRAM_SUB_BUCKETS + (unsigned)(value >> shift) -
			   HISTOGRAM_SUB_BUCKETS,
		   HISTOGRAM_BUCKETS - 1);
}

static double bucket_midpoint_us(unsigned bucket)
{
	unsigned shift;

	if (bucket < HISTOGRAM_SUB_BUCKETS)
		return bucket;
	shift = bucket / HISTOGRAM_SUB_BUCKETS - 1;
	return ldexp(bucket % HISTOGRAM_SUB_BUCKETS + HISTOGRAM_SUB_BUCKETS + 0.5, (int)shift);
}

/* Return: latency at that fraction of the successful statements; 0 if there were none */
static double load_latency_percentile_us(const load_t *load, double fraction)
{
	uint64_t rank = (uint64_t)ceil(fraction * (double)load->ok_count);
	uint64_t cumulative_count = 0;
	unsigned i;

	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		cumulative_count += load->buckets[i];
		if (cumulative_count >= rank && cumulative_count > 0)
			return bucket_midpoint_us(i);
	}
	return 0;
}

/* Clients */

static void client_watch_socket(client_t *client, int events)
{
	ev_io_stop(scenario_loop, &client->io);
	if (events && PQsocket(client->conn) >= 0) {
		ev_io_set(&client->io, PQsocket(client->conn), events);
		ev_io_start(scenario_loop, &client->io);
	}
}

/* Closes the connection and opens a new one after RECONNECT_DELAY_S. */
static void client_drop_connection(client_t *client)
{
	ev_io_stop(scenario_loop, &client->io);
	PQfinish(g_steal_pointer(&client->conn));
	client->is_busy = false;
	ev_timer_stop(scenario_loop, &client->connect_timer);
	ev_timer_set(&client->connect_timer, RECONNECT_DELAY_S, 0);
	ev_timer_start(scenario_loop, &client->connect_timer);
}

/* Counts a failed statement. A lost connection counts as 08006, connection_failure. */
static void load_count_error(load_t *load, const char *sqlstate)
{
	uint64_t *count = g_hash_table_lookup(load->errors_by_sqlstate, sqlstate);

	if (!count) {
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(load->errors_by_sqlstate, g_strdup(sqlstate), count);
	}
	(*count)++;
	load->error_count++;
}

/* Replaces "{id}" in the SQL text by a key that is unique among the statements of all loads. */
static char *load_build_statement(load_t *load)
{
	char *id = g_strdup_printf("%s-%" G_GUINT64_FORMAT, load->id_prefix, load->next_id++);
	char **parts = g_strsplit(load->sql, "{id}", -1);
	char *sql = g_strjoinv(id, parts);

	g_strfreev(parts);
	g_free(id);
	return sql;
}

static void client_send_statement(client_t *client, int64_t arrival_us)
{
	char *sql = load_build_statement(client->load);

	client->is_busy = true;
	client->has_error = false;
	client->arrival_us = arrival_us;
	if (PQsendQuery(client->conn, sql)) {
		PQflush(client->conn);
		client_watch_socket(client, EV_READ);
	} else {
		load_count_error(client->load, "08006");
		client_drop_connection(client);
	}
	g_free(sql);
}

/* Sends the next statement, if the client is free and a statement is waiting. */
static void client_send_next(client_t *client)
{
	load_t *load = client->load;
	int64_t now_us = g_get_monotonic_time();
	int64_t *queued_arrival_us;

	if (client->is_busy || client->is_connecting || !client->conn || now_us >= load->end_us)
		return;
	if (load->rate <= 0) {
		client_send_statement(client, now_us);
		return;
	}
	queued_arrival_us = g_queue_pop_head(&load->arrivals);
	if (queued_arrival_us) {
		client_send_statement(client, *queued_arrival_us);
		g_free(queued_arrival_us);
	} else {
		/* Watch the socket also while idle, to notice when the server closes it. */
		client_watch_socket(client, EV_READ);
	}
}

static void client_finish_statement(client_t *client)
{
	load_t *load = client->load;
	int64_t now_us = g_get_monotonic_time();
	int64_t latency_us = now_us - client->arrival_us;

	client->is_busy = false;
	if (client->has_error) {
		load_count_error(load, client->sqlstate);
	} else {
		load->ok_count++;
		load->buckets[bucket_from_latency(latency_us)]++;
		load->max_us = MAX(load->max_us, latency_us);
		load->longest_ok_gap_us = MAX(load->longest_ok_gap_us, now_us - load->last_ok_us);
		load->last_ok_us = now_us;
	}
	if (PQstatus(client->conn) == CONNECTION_BAD)
		client_drop_connection(client);
	else
		client_send_next(client);
}

static void client_read_results(client_t *client)
{
	PGresult *result;

	if (!PQconsumeInput(client->conn)) {
		if (client->is_busy)
			load_count_error(client->load, "08006");
		client_drop_connection(client);
		return;
	}
	if (!client->is_busy)
		return;
	while (!PQisBusy(client->conn)) {
		result = PQgetResult(client->conn);
		if (!result) {
			client_finish_statement(client);
			return;
		}
		if (PQresultStatus(result) == PGRES_FATAL_ERROR && !client->has_error) {
			const char *sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);

			client->has_error = true;
			g_strlcpy(client->sqlstate, sqlstate ? sqlstate : "08006",
				  sizeof(client->sqlstate));
		}
		PQclear(result);
	}
}

static void client_continue_connect(client_t *client)
{
	switch (PQconnectPoll(client->conn)) {
	case PGRES_POLLING_READING:
		client_watch_socket(client, EV_READ);
		return;
	case PGRES_POLLING_WRITING:
		client_watch_socket(client, EV_WRITE);
		return;
	case PGRES_POLLING_OK:
		client->is_connecting = false;
		client_watch_socket(client, 0);
		client_send_next(client);
		return;
	default:
		client->is_connecting = false;
		client_drop_connection(client);
	}
}

static void on_client_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	client_t *client = watcher->data;

	(void)loop;
	(void)events;
	if (client->is_connecting)
		client_continue_connect(client);
	else
		client_read_results(client);
}

static void ignore_notice(void *data, const char *message)
{
	(void)data;
	(void)message;
}

static void on_connect_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	client_t *client = watcher->data;
	const load_t *load = client->load;

	(void)loop;
	(void)events;
	if (g_get_monotonic_time() >= load->end_us)
		return;
	client->conn = PQconnectStart(
		g_ptr_array_index(load->dsns, client->client_index % load->dsns->len));
	PQsetNoticeProcessor(client->conn, ignore_notice, NULL);
	client->is_connecting = true;
	if (PQstatus(client->conn) == CONNECTION_BAD) {
		client->is_connecting = false;
		client_drop_connection(client);
	} else {
		client_watch_socket(client, EV_WRITE);
	}
}

/* Loads */

static bool load_is_busy(const load_t *load)
{
	unsigned i;

	for (i = 0; i < load->client_count; i++) {
		if (load->clients[i].is_busy)
			return true;
	}
	return false;
}

static void set_number_field(lua_State *state, const char *name, double value)
{
	lua_pushnumber(state, value);
	lua_setfield(state, -2, name);
}

static void load_push_result(lua_State *state, const load_t *load)
{
	double seconds = (double)(load->end_us - load->start_us) / US_PER_S;
	GHashTableIter iter;
	gpointer sqlstate;
	gpointer count;

	lua_newtable(state);
	set_number_field(state, "ok", (double)load->ok_count);
	set_number_field(state, "failed", (double)load->error_count);
	set_number_field(state, "rate", (double)load->ok_count / seconds);
	set_number_field(state, "p50_us", load_latency_percentile_us(load, 0.50));
	set_number_field(state, "p90_us", load_latency_percentile_us(load, 0.90));
	set_number_field(state, "p99_us", load_latency_percentile_us(load, 0.99));
	set_number_field(state, "p999_us", load_latency_percentile_us(load, 0.999));
	set_number_field(state, "max_us", (double)load->max_us);
	set_number_field(state, "gap_us", (double)load->longest_ok_gap_us);
	lua_newtable(state);
	g_hash_table_iter_init(&iter, load->errors_by_sqlstate);
	while (g_hash_table_iter_next(&iter, &sqlstate, &count)) {
		lua_pushnumber(state, (double)*(uint64_t *)count);
		lua_setfield(state, -2, sqlstate);
	}
	lua_setfield(state, -2, "codes");
}

static void load_free(load_t *load)
{
	unsigned i;

	ev_timer_stop(scenario_loop, &load->tick_timer);
	for (i = 0; i < load->client_count; i++) {
		client_t *client = &load->clients[i];

		ev_io_stop(scenario_loop, &client->io);
		ev_timer_stop(scenario_loop, &client->connect_timer);
		if (client->conn)
			PQfinish(client->conn);
	}
	g_queue_clear_full(&load->arrivals, g_free);
	g_ptr_array_free(load->dsns, TRUE);
	g_hash_table_destroy(load->errors_by_sqlstate);
	g_free(load->clients);
	g_free(load->sql);
	g_free(load->id_prefix);
	g_free(load);
}

static void load_enqueue_arrivals(load_t *load, int64_t now_us)
{
	while (now_us < load->end_us) {
		int64_t arrival_us = load->start_us +
				     (int64_t)((double)load->arrival_count / load->rate * US_PER_S);

		if (arrival_us > now_us)
			return;
		g_queue_push_tail(&load->arrivals, g_memdup2(&arrival_us, sizeof(arrival_us)));
		load->arrival_count++;
	}
}

/* Runs every millisecond: assigns arrived statements, and ends the load after its last response. */
static void on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	load_t *load = watcher->data;
	int64_t now_us = g_get_monotonic_time();
	unsigned i;

	(void)loop;
	(void)events;
	if (load->rate > 0) {
		load_enqueue_arrivals(load, now_us);
		for (i = 0; i < load->client_count && load->arrivals.length > 0; i++)
			client_send_next(&load->clients[i]);
	}
	if (now_us >= load->end_us && !load_is_busy(load)) {
		fiber_t *waiter = load->waiter;

		load_push_result(waiter->state, load);
		load_free(load);
		fiber_resume(waiter, 1);
	}
}

static void load_parse_options(lua_State *state, load_t *load)
{
	static unsigned next_load_number;
	lua_Integer i;

	lua_getfield(state, 1, "dsns");
	for (i = 1; lua_rawgeti(state, -1, i) != LUA_TNIL; i++) {
		g_ptr_array_add(load->dsns, g_strdup(luaL_checkstring(state, -1)));
		lua_pop(state, 1);
	}
	lua_getfield(state, 1, "sql");
	load->sql = g_strdup(luaL_checkstring(state, -1));
	lua_getfield(state, 1, "clients");
	load->client_count = (unsigned)luaL_checkinteger(state, -1);
	lua_getfield(state, 1, "rate");
	load->rate = luaL_optnumber(state, -1, 0);
	lua_getfield(state, 1, "seconds");
	load->start_us = g_get_monotonic_time();
	load->last_ok_us = load->start_us;
	load->end_us = load->start_us + (int64_t)(luaL_checknumber(state, -1) * US_PER_S);
	load->id_prefix = g_strdup_printf("load%u", next_load_number++);
}

/*
 * load_run{dsns=, sql=, clients=, seconds=, rate=} -> {ok, failed, codes, rate, p50_us, ... gap_us}
 * Client i connects to dsns[i % #dsns + 1]. rate is in statements per second; without it the loop
 * is closed. The load must end within FIBER_TIMEOUT_S. Statements that are still queued at the end
 * are discarded, and failed attempts to connect are not counted. codes maps SQLSTATE to number of
 * failures. gap_us is the longest time between two consecutive successful responses, or between the
 * start and the first one.
 */
static int api_load_run(lua_State *state)
{
	load_t *load = g_new0(load_t, 1);
	unsigned i;

	load->dsns = g_ptr_array_new_with_free_func(g_free);
	load->errors_by_sqlstate = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&load->arrivals);
	load_parse_options(state, load);
	load->waiter = fiber_get_current(state);
	load->clients = g_new0(client_t, load->client_count);
	for (i = 0; i < load->client_count; i++) {
		client_t *client = &load->clients[i];

		client->load = load;
		client->client_index = i;
		ev_init(&client->io, on_client_io);
		client->io.data = client;
		ev_timer_init(&client->connect_timer, on_connect_timer, 0, 0);
		client->connect_timer.data = client;
		ev_timer_start(scenario_loop, &client->connect_timer);
	}
	ev_timer_init(&load->tick_timer, on_tick, 0.001, 0.001);
	load->tick_timer.data = load;
	ev_timer_start(scenario_loop, &load->tick_timer);
	return fiber_wait(load->waiter);
}

void load_register_api(lua_State *state)
{
	lua_pushcfunction(state, api_load_run);
	lua_setglobal(state, "load_run");
}
