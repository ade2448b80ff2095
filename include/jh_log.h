#ifndef JH_LOG_H
#define JH_LOG_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Log events and the hybrid logical clock
 *
 * A log event is one line of key=value pairs, written through GLib's structured logging to standard
 * error, or to standard output after jh_log_set_rate_limit(). It begins with the keys hlc (HLC
 * timestamp), vm, level, module and event. The newest events are also kept in a ring buffer in
 * memory, from which `jasminehill timeline` reads them. The keys of callers are secret and never
 * logged.
 *
 * The hybrid logical clock (HLC) orders the events of several VMs: its timestamps follow the wall
 * clock, and a timestamp given after receiving a message is higher than the message's own.
 */

/** enum jh_log_level - severity of an event; lower values are more severe */
typedef enum jh_log_level {
	JH_LOG_ERROR,
	JH_LOG_WARNING,
	/** @JH_LOG_NOTICE: a request failed or was refused; has a reserve in the rate limit */
	JH_LOG_NOTICE,
	JH_LOG_INFO,
	JH_LOG_DEBUG,
} jh_log_level_t;

/**
 * jh_log_init() - set up logging; to be called before the first event
 * @vm: name of this VM, which each event contains
 * @level: name of the least severe level that is logged; an unknown name changes nothing
 */
void jh_log_init(const char *vm, const char *level);

/**
 * jh_log_set_rate_limit() - log to standard output with a rate limit
 * @lines_per_s: limit on the average rate of events that are less severe than a warning; 0 means no
 *	limit
 *
 * If standard output is a pipe, writes to it no longer block. Events above the limit, and lines
 * that a full pipe does not accept, are dropped. A later event "lines_dropped" contains their
 *number for each event name.
 */
void jh_log_set_rate_limit(unsigned lines_per_s);

/**
 * jh_log() - log one event
 * @level: its severity; the event is ignored if it is less severe than the level of jh_log_init()
 * @module: name of the module that logs it
 * @event: name of the event, in lower case with underscores; static
 * @format: printf format of further pairs, such as "key=%s other=%d"; strings from outside the
 *	process must be quoted by jh_log_value()
 */
void jh_log(jh_log_level_t level, const char *module, const char *event, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/**
 * jh_log_value() - quote a string as the value of a pair, if its characters require it
 * @text: truncated to 511 bytes, quotes included; NULL counts as empty
 *
 * Return: one of 8 static buffers, used round robin, so that one call of jh_log() can have 8 values
 */
const char *jh_log_value(const char *text);

/** typedef jh_log_line_fn_t - called for one line, without a line end; @line is borrowed */
typedef void (*jh_log_line_fn_t)(const char *line, void *data);

/**
 * jh_log_foreach() - call @visit for each event in the ring buffer, oldest first
 *
 * Return: number of older events, which were overwritten
 */
uint64_t jh_log_foreach(jh_log_line_fn_t visit, void *data);

/**
 * jh_hlc_now() - get an HLC timestamp for a local event
 *
 * Return: Unix time in milliseconds (upper 48 bits) and a counter (lower 16 bits); higher than
 * every timestamp that this function returned or jh_hlc_observe() accepted before
 */
uint64_t jh_hlc_now(void);

/**
 * jh_hlc_observe() - advance the clock to the timestamp of a received message
 * @timestamp: the peer's HLC timestamp; ignored if it is a day or more ahead of the local wall
 * clock
 */
void jh_hlc_observe(uint64_t timestamp);

#endif
