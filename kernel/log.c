#include "jh_log.h"

#include "jh_counter.h"

#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* Number of lines that the ring buffer keeps; at about 200 bytes a line this is 1 MB. */
#define RING_MAX_LINES 4096u

/* Calls of jh_log_value() whose results are valid at the same time. */
#define VALUE_BUFFER_COUNT 8u
#define VALUE_MAX_BYTES 512u

#define HLC_COUNTER_BITS 16

/* Capacity of the token bucket: the lines that the rate limit allows in this many seconds. */
#define BUCKET_SECONDS 4

/* The capacity divided by this is reserved for notices. */
#define NOTICE_RESERVE_DIVISOR 2

static char *ring[RING_MAX_LINES];
/* Lines added to the ring so far, including those that were overwritten. */
static uint64_t ring_written;
static char *vm_name;
static jh_log_level_t log_level = JH_LOG_INFO;
/* Last HLC timestamp that was returned or accepted. */
static uint64_t hlc_last;

/* Event names whose dropped lines are counted separately; the others share one count. */
#define MAX_DROPPED_EVENTS 24u

/* Longest line. A write of at most PIPE_BUF bytes to a pipe is atomic: the pipe accepts the whole
 * line or nothing of it. */
#define LINE_MAX_BYTES PIPE_BUF

JH_COUNTER(dropped_total, "jasminehill_log_lines_dropped_total", "log lines left out");

/* Rate limit: a token bucket from which each line takes one token (no limit if lines_per_s is 0),
 * and the lines that were dropped. */
static struct {
	unsigned lines_per_s;
	double tokens;
	int64_t refilled_us;
	/* Lines dropped since the last "lines_dropped" event, by event name (borrowed). */
	struct {
		const char *event;
		uint64_t count;
	} dropped[MAX_DROPPED_EVENTS];
	/* Dropped lines of event names that are not in the array. */
	uint64_t dropped_others;
	bool has_dropped_lines;
	/* True while "lines_dropped" is logged, so that it does not trigger another one. */
	bool is_reporting_drops;
	/* True if the last "lines_dropped" line could not be written; the counts are then kept. */
	bool report_failed;
	/* True once jh_log_set_rate_limit() was called; lines then go to standard output. */
	bool is_set;
} rate_limit;

static const char *const level_names[] = {
	[JH_LOG_ERROR] = "error", [JH_LOG_WARNING] = "warning", [JH_LOG_NOTICE] = "notice",
	[JH_LOG_INFO] = "info",	  [JH_LOG_DEBUG] = "debug",
};

static const GLogLevelFlags level_flags[] = {
	[JH_LOG_ERROR] = G_LOG_LEVEL_CRITICAL, [JH_LOG_WARNING] = G_LOG_LEVEL_WARNING,
	[JH_LOG_NOTICE] = G_LOG_LEVEL_MESSAGE, [JH_LOG_INFO] = G_LOG_LEVEL_INFO,
	[JH_LOG_DEBUG] = G_LOG_LEVEL_DEBUG,
};

/* ---- Hybrid logical clock ---- */

uint64_t jh_hlc_now(void)
{
	uint64_t wall_clock = (uint64_t)(g_get_real_time() / 1000) << HLC_COUNTER_BITS;

	hlc_last = MAX(hlc_last + 1, wall_clock);
	return hlc_last;
}

void jh_hlc_observe(uint64_t timestamp)
{
	/* A peer whose wall clock is a day or more ahead must not advance the fleet's clocks. */
	const uint64_t max_ahead = (uint64_t)86400 * 1000 << HLC_COUNTER_BITS;
	uint64_t wall_clock = (uint64_t)(g_get_real_time() / 1000) << HLC_COUNTER_BITS;

	if (timestamp > hlc_last && timestamp < wall_clock + max_ahead)
		hlc_last = timestamp;
}

/* ---- Dropped lines ---- */

static void dropped_lines_add(const char *event)
{
	unsigned i;

	jh_counter_add(&dropped_total, 1);
	rate_limit.has_dropped_lines = true;
	for (i = 0; i < MAX_DROPPED_EVENTS; i++) {
		if (!rate_limit.dropped[i].event)
			rate_limit.dropped[i].event = event;
		if (g_str_equal(rate_limit.dropped[i].event, event)) {
			rate_limit.dropped[i].count++;
			return;
		}
	}
	rate_limit.dropped_others++;
}

/* Formats the counts as "count=SUM EVENT=COUNT ...". Return: new string */
static char *dropped_lines_format(void)
{
	GString *pairs = g_string_new(NULL);
	uint64_t sum = rate_limit.dropped_others;
	char *sum_field;
	unsigned i;

	for (i = 0; i < MAX_DROPPED_EVENTS && rate_limit.dropped[i].event; i++) {
		sum += rate_limit.dropped[i].count;
		if (rate_limit.dropped[i].count > 0)
			g_string_append_printf(pairs, " %s=%" G_GUINT64_FORMAT,
					       rate_limit.dropped[i].event,
					       rate_limit.dropped[i].count);
	}
	if (rate_limit.dropped_others > 0)
		g_string_append_printf(pairs, " others=%" G_GUINT64_FORMAT,
				       rate_limit.dropped_others);
	sum_field = g_strdup_printf("count=%" G_GUINT64_FORMAT, sum);
	g_string_prepend(pairs, sum_field);
	g_free(sum_field);
	return g_string_free(pairs, FALSE);
}

/* Logs the counts and resets them, unless this line could not be written either. */
static void dropped_lines_report(void)
{
	char *fields = dropped_lines_format();

	rate_limit.is_reporting_drops = true;
	rate_limit.report_failed = false;
	jh_log(JH_LOG_WARNING, "log", "lines_dropped", "%s", fields);
	rate_limit.is_reporting_drops = false;
	g_free(fields);
	if (rate_limit.report_failed)
		return;
	memset(rate_limit.dropped, 0, sizeof(rate_limit.dropped));
	rate_limit.dropped_others = 0;
	rate_limit.has_dropped_lines = false;
}

/* ---- Output ---- */

/* A line that a full pipe does not accept is dropped and counted: the daemon never blocks on it. */
static void line_write(const char *line, const char *event)
{
	bool is_written;
	ssize_t length;
	char *output;

	if (!rate_limit.is_set) {
		fprintf(stderr, "%s\n", line);
		clearerr(stderr);
		return;
	}
	output = g_strdup_printf("%.*s\n", (int)LINE_MAX_BYTES - 1, line);
	length = (ssize_t)strlen(output);
	is_written = write(STDOUT_FILENO, output, (size_t)length) == length;
	if (!is_written && rate_limit.is_reporting_drops)
		rate_limit.report_failed = true;
	else if (!is_written)
		dropped_lines_add(event);
	g_free(output);
}

/* A line break in a caller's text must not split the event into two lines. */
static void replace_control_characters(char *text)
{
	for (; *text; text++) {
		if ((unsigned char)*text < ' ' || *text == 0x7f)
			*text = '?';
	}
}

/* Called by GLib for each log message of the process, also for those of libraries. */
static GLogWriterOutput on_glib_log(GLogLevelFlags flags, const GLogField *fields, gsize count,
				    gpointer data)
{
	const char *message = "";
	const char *domain = "glib";
	const char *event = NULL;
	gsize i;

	(void)data;
	for (i = 0; i < count; i++) {
		if (g_str_equal(fields[i].key, "MESSAGE"))
			message = fields[i].value;
		else if (g_str_equal(fields[i].key, "GLIB_DOMAIN"))
			domain = fields[i].value;
		else if (g_str_equal(fields[i].key, "JH_EVENT"))
			event = fields[i].value;
	}
	if (event) {
		line_write(message, event);
	} else if (!(flags & G_LOG_LEVEL_DEBUG)) {
		char *line = g_strdup_printf(
			"hlc=%016" G_GINT64_MODIFIER
			"x vm=%s level=warning module=%s event=library message=%s",
			jh_hlc_now(), vm_name ? vm_name : "-", domain, jh_log_value(message));

		replace_control_characters(line);
		line_write(line, "library");
		g_free(line);
	}
	return G_LOG_WRITER_HANDLED;
}

void jh_log_init(const char *vm, const char *level)
{
	unsigned i;

	g_free(vm_name);
	vm_name = g_strdup(vm);
	for (i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (g_strcmp0(level, level_names[i]) == 0)
			log_level = i;
	}
	setvbuf(stderr, NULL, _IOLBF, 0);
	g_log_set_writer_func(on_glib_log, NULL, NULL);
}

void jh_log_set_rate_limit(unsigned lines_per_s)
{
	struct stat stdout_stat;

	rate_limit.lines_per_s = lines_per_s;
	rate_limit.tokens = (double)lines_per_s * BUCKET_SECONDS;
	rate_limit.refilled_us = g_get_monotonic_time();
	rate_limit.is_set = true;
	fflush(stdout);
	if (fstat(STDOUT_FILENO, &stdout_stat) == 0 && S_ISFIFO(stdout_stat.st_mode))
		(void)fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

/*
 * Refills the token bucket and takes a token for one line. Errors and warnings are rare and always
 * allowed. Notices may use all tokens, less severe events only those above the reserve.
 */
static bool line_take_token(jh_log_level_t level)
{
	int64_t now_us = g_get_monotonic_time();
	double capacity = (double)rate_limit.lines_per_s * BUCKET_SECONDS;
	double needed_tokens = level == JH_LOG_NOTICE ? 1 : 1 + capacity / NOTICE_RESERVE_DIVISOR;

	if (rate_limit.lines_per_s == 0)
		return true;
	rate_limit.tokens +=
		(double)(now_us - rate_limit.refilled_us) / G_USEC_PER_SEC * rate_limit.lines_per_s;
	rate_limit.tokens = MIN(rate_limit.tokens, capacity);
	rate_limit.refilled_us = now_us;
	if (level > JH_LOG_WARNING && rate_limit.tokens < needed_tokens)
		return false;
	/* Errors and warnings may overdraw the bucket. The debt is limited, so that other events
	 * are soon logged again. */
	rate_limit.tokens = MAX(rate_limit.tokens - 1, -capacity);
	return true;
}

static void ring_add(char *line)
{
	char **slot = &ring[ring_written % RING_MAX_LINES];

	g_free(*slot);
	*slot = line;
	ring_written++;
}

void jh_log(jh_log_level_t level, const char *module, const char *event, const char *format, ...)
{
	va_list args;
	char *fields;
	char *line;

	if (level > log_level)
		return;
	if (!line_take_token(level)) {
		dropped_lines_add(event);
		return;
	}
	if (rate_limit.has_dropped_lines && !rate_limit.is_reporting_drops)
		dropped_lines_report();
	va_start(args, format);
	fields = g_strdup_vprintf(format, args);
	va_end(args);
	line = g_strdup_printf(
		"hlc=%016" G_GINT64_MODIFIER "x vm=%s level=%s module=%s event=%s %s", jh_hlc_now(),
		vm_name ? vm_name : "-", level_names[level], module, event, fields);
	g_free(fields);
	replace_control_characters(line);
	g_log_structured("jasminehill", level_flags[level], "JH_EVENT", event, "MESSAGE", "%s",
			 line);
	ring_add(line);
}

static gboolean value_needs_no_quotes(const char *text)
{
	return *text && !strpbrk(text, " \"=\\");
}

const char *jh_log_value(const char *text)
{
	static char buffers[VALUE_BUFFER_COUNT][VALUE_MAX_BYTES];
	static unsigned next_buffer;
	char *out = buffers[next_buffer++ % VALUE_BUFFER_COUNT];
	size_t length = 0;

	if (!text)
		text = "";
	if (value_needs_no_quotes(text)) {
		g_strlcpy(out, text, VALUE_MAX_BYTES);
		return out;
	}
	out[length++] = '"';
	for (; *text && length < VALUE_MAX_BYTES - 3; text++) {
		if (*text == '"' || *text == '\\')
			out[length++] = '\\';
		out[length++] = *text;
	}
	out[length++] = '"';
	out[length] = '\0';
	return out;
}

uint64_t jh_log_foreach(jh_log_line_fn_t visit, void *data)
{
	uint64_t first = ring_written > RING_MAX_LINES ? ring_written - RING_MAX_LINES : 0;
	uint64_t i;

	for (i = first; i < ring_written; i++)
		visit(ring[i % RING_MAX_LINES], data);
	return first;
}
