#ifndef JH_LOG_H
#define JH_LOG_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Logs and the time line
 *
 * An event is one line of key=value pairs on standard error, written through GLib's structured
 * logging. It begins with hlc (hybrid logical clock), vm, level, module and event. The newest
 * events are also kept in a bounded ring, from which `jasminehill timeline` reads them. Keys of
 * callers never go into an event.
 */

typedef enum jh_log_level {
	JH_LOG_ERROR,
	JH_LOG_WARNING,
	/** @JH_LOG_NOTICE: a caller did not get what it asked for; kept before JH_LOG_INFO */
	JH_LOG_NOTICE,
	JH_LOG_INFO,
	JH_LOG_DEBUG,
} jh_log_level_t;

/** jh_log_init() - name the VM and set the level; @level as in the settings */
void jh_log_init(const char *vm, const char *level);

/**
 * jh_log_bound() - write to standard output, never block on it, and keep the volume bounded
 * @lines_per_s: events below level warning written in the long run; the rest, and what the reader
 *		 did not take, are counted by event in a line "lines_dropped"
 */
void jh_log_bound(unsigned lines_per_s);

/**
 * jh_log() - write one event
 * @level: its weight
 * @module: where it happened
 * @event: what happened, in lower case with underscores
 * @format: "key=%s other=%d"; strings from outside go through jh_log_value()
 */
void jh_log(jh_log_level_t level, const char *module, const char *event, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/** jh_log_value() - quote @text if needed. Return: one of 8 static buffers, used in turn */
const char *jh_log_value(const char *text);

/** typedef jh_log_line_fn_t - takes one line of the ring, oldest first */
typedef void (*jh_log_line_fn_t)(const char *line, void *data);

/** jh_log_each() - visit the ring's lines, oldest first. Return: lines lost before them */
uint64_t jh_log_each(jh_log_line_fn_t visit, void *data);

/* Hybrid logical clock: 48 bits of milliseconds since 1970, 16 bits of counter. */

/** jh_hlc_now() - stamp a local event. Return: later than every stamp given or seen before */
uint64_t jh_hlc_now(void);

/** jh_hlc_observe() - take a peer's stamp into account */
void jh_hlc_observe(uint64_t stamp);

#endif
