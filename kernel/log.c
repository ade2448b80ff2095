#include "jh_log.h"

#include <stdarg.h>
#include <fcntl.h>
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

/* Lines written in one go once a bound is set: two seconds' worth. */
#define BURST_SECONDS 2

static char *ring[RING_LINES];
static uint64_t ring_written;
static char *log_vm;
static jh_log_level_t log_level = JH_LOG_INFO;
static uint64_t hlc_last;

/* Bound on the lines written; 0 lines a second: none. */
static struct {
	unsigned lines_per_s;
	double allowance;
	int64_t refilled_us;
	uint64_t dropped;
	FILE *out;
} bound;

static const char *const level_names[] = {
	[JH_LOG_ERROR] = "error",
	[JH_LOG_WARNING] = "warning",
	[JH_LOG_INFO] = "info",
	[JH_LOG_DEBUG] = "debug",
};

static const GLogLevelFlags level_flags[] = {
	[JH_LOG_ERROR] = G_LOG_LEVEL_CRITICAL,
	[JH_LOG_WARNING] = G_LOG_LEVEL_WARNING,
	[JH_LOG_INFO] = G_LOG_LEVEL_INFO,
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

/* ---- writing ---- */

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
	FILE *out = bound.out ? bound.out : stderr;

	if (own)
		fprintf(out, "%s\n", message);
	else if (!(flags & G_LOG_LEVEL_DEBUG))
		fprintf(out,
			"hlc=%016" G_GINT64_MODIFIER
			"x vm=%s level=warning module=%s event=library message=%s\n",
			jh_hlc_now(), log_vm ? log_vm : "-", domain, jh_log_value(message));
	/* A reader that does not keep up loses lines; the daemon goes on. */
	clearerr(out);
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
	bound.out = stdout;
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (fstat(STDOUT_FILENO, &info) == 0 && S_ISFIFO(info.st_mode))
		(void)fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

/* Warnings and errors are few and always written; of the rest, no more than the bound. */
static bool line_is_allowed(jh_log_level_t level)
{
	int64_t now_us = g_get_monotonic_time();

	if (bound.lines_per_s == 0)
		return true;
	bound.allowance +=
		(double)(now_us - bound.refilled_us) / G_USEC_PER_SEC * bound.lines_per_s;
	bound.allowance = MIN(bound.allowance, (double)bound.lines_per_s * BURST_SECONDS);
	bound.refilled_us = now_us;
	if (level > JH_LOG_WARNING && bound.allowance < 1) {
		bound.dropped++;
		return false;
	}
	bound.allowance -= 1;
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
	uint64_t dropped = bound.dropped;
	va_list args;
	char *fields;
	char *line;

	if (level > log_level || !line_is_allowed(level))
		return;
	if (dropped > 0) {
		bound.dropped = 0;
		jh_log(JH_LOG_WARNING, "log", "lines_dropped", "count=%" G_GUINT64_FORMAT, dropped);
	}
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
