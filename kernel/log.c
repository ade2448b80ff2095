#include "jh_log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Lines that the ring keeps; at about 200 bytes a line this is 1 MB. */
#define RING_LINES 4096u

/* Values that one call of jh_log() may quote. */
#define VALUE_BUFFERS 8u
#define VALUE_MAX_BYTES 512u

#define HLC_COUNTER_BITS 16

static char *ring[RING_LINES];
static uint64_t ring_written;
static char *log_vm;
static jh_log_level_t log_level = JH_LOG_INFO;
static uint64_t hlc_last;

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
	if (own)
		fprintf(stderr, "%s\n", message);
	else if (!(flags & G_LOG_LEVEL_DEBUG))
		fprintf(stderr,
			"hlc=%016" G_GINT64_MODIFIER
			"x vm=%s level=warning module=%s event=library message=%s\n",
			jh_hlc_now(), log_vm ? log_vm : "-", domain, jh_log_value(message));
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
