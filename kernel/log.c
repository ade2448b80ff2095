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

/* Lines that the ring keeps; at about 200 bytes a line this is 1 MB. */
#define RING_LINES 4096u

/* Values that one call of jh_log() may quote. */
#define VALUE_BUFFERS 8u
#define VALUE_MAX_BYTES 512u

#define HLC_COUNTER_BITS 16

/* Lines written in one go once a bound is set, seconds' worth; half of it is for notices only. */
#define BURST_SECONDS 4
#define INFO_SHARE 2

static char *ring[RING_LINES];
static uint64_t ring_written;
static char *log_vm;
static jh_log_level_t log_level = JH_LOG_INFO;
static uint64_t hlc_last;

/* Events whose lines left out are counted each by itself; all others together. */
#define DROPPED_KINDS 24u

/* Longest line that a pipe takes whole or not at all. */
#define LINE_MAX_BYTES PIPE_BUF

JH_COUNTER(dropped_total, "jasminehill_log_lines_dropped_total", "log lines left out");

/* Bound on the lines written; 0 lines a second: none. */
static struct {
	unsigned lines_per_s;
	double allowance;
	int64_t refilled_us;
	/* Lines left out since the last line that says so; names are those given to jh_log(). */
	struct {
		const char *event;
		uint64_t count;
	} dropped[DROPPED_KINDS];
	uint64_t dropped_others;
	bool has_dropped;
	bool is_reporting;
	bool report_failed;
	bool is_set;
} bound;

static const char *const level_names[] = {
	[JH_LOG_ERROR] = "error", [JH_LOG_WARNING] = "warning", [JH_LOG_NOTICE] = "notice",
	[JH_LOG_INFO] = "info",	  [JH_LOG_DEBUG] = "debug",
};

static const GLogLevelFlags level_flags[] = {
	[JH_LOG_ERROR] = G_LOG_LEVEL_CRITICAL, [JH_LOG_WARNING] = G_LOG_LEVEL_WARNING,
	[JH_LOG_NOTICE] = G_LOG_LEVEL_MESSAGE, [JH_LOG_INFO] = G_LOG_LEVEL_INFO,
	[JH_LOG_DEBUG] = G_LOG_LEVEL_DEBUG,
};

/* ---- hybrid logical clock ---- */

uint64_t jh_hlc_now(void)
{
	uint64_t wall = (uint64_t)(g_get_real_time() / 1000) << HLC_COUNTER_BITS;

	hlc_last = MAX(hlc_last + 1, wall);
	return hlc_last;
}

void jh_hlc_observe(uint64_t stamp)
{
	/* A peer whose clock is a day ahead must not drag everyone's clock along. */
	const uint64_t ahead = (uint64_t)86400 * 1000 << HLC_COUNTER_BITS;
	uint64_t wall = (uint64_t)(g_get_real_time() / 1000) << HLC_COUNTER_BITS;

	if (stamp > hlc_last && stamp < wall + ahead)
		hlc_last = stamp;
}

/* ---- lines left out ---- */

static void line_drop(const char *event)
{
	unsigned i;

	jh_counter_add(&dropped_total, 1);
	bound.has_dropped = true;
	for (i = 0; i < DROPPED_KINDS; i++) {
		if (!bound.dropped[i].event)
			bound.dropped[i].event = event;
		if (g_str_equal(bound.dropped[i].event, event)) {
			bound.dropped[i].count++;
			return;
		}
	}
	bound.dropped_others++;
}

/* Return: new */
static char *dropped_fields(void)
{
	GString *kinds = g_string_new(NULL);
	uint64_t sum = bound.dropped_others;
	char *count;
	unsigned i;

	for (i = 0; i < DROPPED_KINDS && bound.dropped[i].event; i++) {
		sum += bound.dropped[i].count;
		if (bound.dropped[i].count > 0)
			g_string_append_printf(kinds, " %s=%" G_GUINT64_FORMAT,
					       bound.dropped[i].event, bound.dropped[i].count);
	}
	if (bound.dropped_others > 0)
		g_string_append_printf(kinds, " others=%" G_GUINT64_FORMAT, bound.dropped_others);
	count = g_strdup_printf("count=%" G_GUINT64_FORMAT, sum);
	g_string_prepend(kinds, count);
	g_free(count);
	return g_string_free(kinds, FALSE);
}

/* One line says what was left out; if it is lost itself, the counts stay for the next one. */
static void dropped_report(void)
{
	char *fields = dropped_fields();

	bound.is_reporting = true;
	bound.report_failed = false;
	jh_log(JH_LOG_WARNING, "log", "lines_dropped", "%s", fields);
	bound.is_reporting = false;
	g_free(fields);
	if (bound.report_failed)
		return;
	memset(bound.dropped, 0, sizeof(bound.dropped));
	bound.dropped_others = 0;
	bound.has_dropped = false;
}

/* ---- writing ---- */

/* A reader that does not keep up loses lines, which are counted; the daemon goes on. */
static void line_write(const char *line, const char *event)
{
	bool is_written;
	ssize_t length;
	char *whole;

	if (!bound.is_set) {
		fprintf(stderr, "%s\n", line);
		clearerr(stderr);
		return;
	}
	whole = g_strdup_printf("%.*s\n", (int)LINE_MAX_BYTES - 1, line);
	length = (ssize_t)strlen(whole);
	is_written = write(STDOUT_FILENO, whole, (size_t)length) == length;
	if (!is_written && bound.is_reporting)
		bound.report_failed = true;
	else if (!is_written)
		line_drop(event);
	g_free(whole);
}

/* GLib hands every structured event of the process to this writer, one line each. */
static GLogWriterOutput write_line(GLogLevelFlags flags, const GLogField *fields, gsize count,
				   gpointer data)
{
	const char *message = "";
	const char *domain = "glib";
	const char *own = NULL;
	gsize i;

	(void)data;
	for (i = 0; i < count; i++) {
		if (g_str_equal(fields[i].key, "MESSAGE"))
			message = fields[i].value;
		else if (g_str_equal(fields[i].key, "GLIB_DOMAIN"))
			domain = fields[i].value;
		else if (g_str_equal(fields[i].key, "JH_EVENT"))
			own = fields[i].value;
	}
	if (own) {
		line_write(message, own);
	} else if (!(flags & G_LOG_LEVEL_DEBUG)) {
		char *line = g_strdup_printf(
			"hlc=%016" G_GINT64_MODIFIER
			"x vm=%s level=warning module=%s event=library message=%s",
			jh_hlc_now(), log_vm ? log_vm : "-", domain, jh_log_value(message));

		line_write(line, "library");
		g_free(line);
	}
	return G_LOG_WRITER_HANDLED;
}

void jh_log_init(const char *vm, const char *level)
{
	unsigned i;

	g_free(log_vm);
	log_vm = g_strdup(vm);
	for (i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (g_strcmp0(level, level_names[i]) == 0)
			log_level = i;
	}
	setvbuf(stderr, NULL, _IOLBF, 0);
	g_log_set_writer_func(write_line, NULL, NULL);
}

void jh_log_bound(unsigned lines_per_s)
{
	struct stat info;

	bound.lines_per_s = lines_per_s;
	bound.allowance = (double)lines_per_s * BURST_SECONDS;
	bound.refilled_us = g_get_monotonic_time();
	bound.is_set = true;
	fflush(stdout);
	if (fstat(STDOUT_FILENO, &info) == 0 && S_ISFIFO(info.st_mode))
		(void)fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

/*
 * Warnings and errors are few and always written; of the rest, no more than the bound. A part of
 * the allowance is kept for notices.
 */
static bool line_is_allowed(jh_log_level_t level)
{
	int64_t now_us = g_get_monotonic_time();
	double burst = (double)bound.lines_per_s * BURST_SECONDS;
	double least = level == JH_LOG_NOTICE ? 1 : 1 + burst / INFO_SHARE;

	if (bound.lines_per_s == 0)
		return true;
	bound.allowance +=
		(double)(now_us - bound.refilled_us) / G_USEC_PER_SEC * bound.lines_per_s;
	bound.allowance = MIN(bound.allowance, burst);
	bound.refilled_us = now_us;
	if (level > JH_LOG_WARNING && bound.allowance < least)
		return false;
	/* Warnings may overdraw it, but not so that nothing else is written for long. */
	bound.allowance = MAX(bound.allowance - 1, -burst);
	return true;
}

static void ring_add(char *line)
{
	char **slot = &ring[ring_written % RING_LINES];

	g_free(*slot);
	*slot = line;
	ring_written++;
}

/* A line stays a line, whatever a caller sent. */
static void replace_control_characters(char *text)
{
	for (; *text; text++) {
		if ((unsigned char)*text < ' ' || *text == 0x7f)
			*text = '?';
	}
}

void jh_log(jh_log_level_t level, const char *module, const char *event, const char *format, ...)
{
	va_list args;
	char *fields;
	char *line;

	if (level > log_level)
		return;
	if (!line_is_allowed(level)) {
		line_drop(event);
		return;
	}
	if (bound.has_dropped && !bound.is_reporting)
		dropped_report();
	va_start(args, format);
	fields = g_strdup_vprintf(format, args);
	va_end(args);
	line = g_strdup_printf(
		"hlc=%016" G_GINT64_MODIFIER "x vm=%s level=%s module=%s event=%s %s", jh_hlc_now(),
		log_vm ? log_vm : "-", level_names[level], module, event, fields);
	g_free(fields);
	replace_control_characters(line);
	g_log_structured("jasminehill", level_flags[level], "JH_EVENT", event, "MESSAGE", "%s",
			 line);
	ring_add(line);
}

static gboolean value_is_plain(const char *text)
{
	return *text && !strpbrk(text, " \"=\\");
}

const char *jh_log_value(const char *text)
{
	static char buffers[VALUE_BUFFERS][VALUE_MAX_BYTES];
	static unsigned next;
	char *out = buffers[next++ % VALUE_BUFFERS];
	size_t used = 0;

	if (!text)
		text = "";
	if (value_is_plain(text)) {
		g_strlcpy(out, text, VALUE_MAX_BYTES);
		return out;
	}
	out[used++] = '"';
	for (; *text && used < VALUE_MAX_BYTES - 3; text++) {
		if (*text == '"' || *text == '\\')
			out[used++] = '\\';
		out[used++] = *text;
	}
	out[used++] = '"';
	out[used] = '\0';
	return out;
}

uint64_t jh_log_each(jh_log_line_fn_t visit, void *data)
{
	uint64_t first = ring_written > RING_LINES ? ring_written - RING_LINES : 0;
	uint64_t i;

	for (i = first; i < ring_written; i++)
		visit(ring[i % RING_LINES], data);
	return first;
}
