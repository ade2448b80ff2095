#include "internal/gateway.h"

#include "jh_counter.h"
#include "jh_log.h"
#include "jh_mirror.h"

/*
 * The time that a draining process has left, and what it still accepts in that time. Sessions and
 * transactions have the first half of the drain limit to end. After that a statement is accepted
 * only if its timeout ends before the process does, so that each accepted one gets its response;
 * the others are refused at once, for another VM to run. Statements accepted before may take longer
 * than the process has; they get an error shortly before it exits.
 */

/*
 * A draining VM without sessions runs on for at least this long, microseconds, so that the balancer
 * has stopped sending new sessions before the listener closes.
 */
#define DRAIN_MIN_US (2500 * INT64_C(1000))

/* The process exits this long before the drain limit, microseconds, to send its last responses. */
#define DRAIN_MARGIN_US (400 * INT64_C(1000))

/*
 * A statement may be answered this much later than its timeout, microseconds: an entry waits a
 * little longer for its holder.
 */
#define ANSWER_MARGIN_US (200 * INT64_C(1000))

/* Transactions and sessions are ended once the drain limit divided by this has passed. */
#define END_SESSIONS_DIVISOR 2

JH_COUNTER(cut_total, "jasminehill_shutdown_cut_total",
	   "statements that were still in progress when the process had to exit");

static int64_t drain_limit_us(const _jh_gateway_t *gateway)
{
	return (int64_t)jh_kernel_settings(jh_task_kernel(gateway->task))->drain_ms * 1000;
}

/* Return: time until the process exits, INT64_MAX if it does not drain; negative afterwards */
static int64_t time_left_us(const _jh_gateway_t *gateway, int64_t now_us)
{
	if (gateway->drain_started_us == 0)
		return INT64_MAX;
	return gateway->drain_started_us + drain_limit_us(gateway) - DRAIN_MARGIN_US - now_us;
}

bool _jh_gateway_must_end_sessions(const _jh_gateway_t *gateway, int64_t now_us)
{
	return gateway->drain_started_us != 0 &&
	       now_us - gateway->drain_started_us > drain_limit_us(gateway) / END_SESSIONS_DIVISOR;
}

bool _jh_gateway_has_time(const _jh_gateway_t *gateway, int64_t timeout_us)
{
	return time_left_us(gateway, jh_boot_time_us()) - ANSWER_MARGIN_US >= timeout_us;
}

bool _jh_gateway_may_start(const _jh_gateway_t *gateway, int64_t timeout_us)
{
	return !_jh_gateway_must_end_sessions(gateway, jh_boot_time_us()) ||
	       _jh_gateway_has_time(gateway, timeout_us);
}

/* Responds to all statements in progress. Return: their number */
static unsigned end_statements(_jh_gateway_t *gateway)
{
	GPtrArray *callers = _jh_gateway_copy_callers(gateway);
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < callers->len; i++) {
		_jh_gw_caller_t *caller = g_ptr_array_index(callers, i);

		if (caller->request == JH_REQUEST_NONE)
			continue;
		count++;
		_jh_gw_request_on_exit(caller);
	}
	g_ptr_array_free(callers, TRUE);
	if (count > 0) {
		jh_counter_add(&cut_total, count);
		jh_log(JH_LOG_WARNING, "gateway", "statements_cut", "count=%u", count);
	}
	return count;
}

bool _jh_gateway_is_drained(_jh_gateway_t *gateway)
{
	int64_t now_us = jh_boot_time_us();

	/* The responses that go to other VMs leave before the next call. */
	if (time_left_us(gateway, now_us) <= 0)
		return end_statements(gateway) == 0;
	return g_hash_table_size(gateway->callers) == 0 &&
	       now_us - gateway->drain_started_us > DRAIN_MIN_US;
}
