#ifndef JH_ERROR_H
#define JH_ERROR_H

#include <glib.h>
#include <stdbool.h>

/**
 * DOC: Errors
 *
 * A function that can fail takes a jh_error_t as its last parameter and returns -1 or NULL with
 * the error set, once, where the failure was first seen. Checks of user input do not stop at the
 * first fault: they add findings, each with its place, which are reported together.
 */

/** enum jh_errcode - kinds of failure that callers tell apart */
typedef enum jh_errcode {
	JH_ERR_NONE = 0,
	/** @JH_ERR_INVALID: malformed input or a setting out of range */
	JH_ERR_INVALID,
	/** @JH_ERR_SYSTEM: a system call failed */
	JH_ERR_SYSTEM,
	/** @JH_ERR_PROTOCOL: a peer broke the protocol */
	JH_ERR_PROTOCOL,
	/** @JH_ERR_UNAVAILABLE: a peer or the platform can't be reached */
	JH_ERR_UNAVAILABLE,
	/** @JH_ERR_CONFLICT: a compare-and-set lost the race */
	JH_ERR_CONFLICT,
	/** @JH_ERR_DENIED: not allowed for this team or key */
	JH_ERR_DENIED,
} jh_errcode_t;

/**
 * struct jh_finding - one fault in user input
 * @place: where it is, e.g. "routes[3].group" or "--listen"; owned
 * @message: what is wrong; owned
 */
typedef struct jh_finding {
	char *place;
	char *message;
} jh_finding_t;

/**
 * struct jh_error - a failure and the findings collected for it
 * @code: kind of failure, JH_ERR_NONE if unset
 * @message: one line for people, without a full stop
 * @findings: array of jh_finding_t, NULL while there are none
 */
typedef struct jh_error {
	jh_errcode_t code;
	char message[256];
	GArray *findings;
} jh_error_t;

/** JH_ERROR_INIT - initialiser of an unset error */
#define JH_ERROR_INIT                                                                              \
	{                                                                                          \
		.code = JH_ERR_NONE                                                                \
	}

/** jh_error_set() - set the error; the first one set stays. Return: -1 */
int jh_error_set(jh_error_t *err, jh_errcode_t code, const char *format, ...) G_GNUC_PRINTF(3, 4);

/** jh_error_add_finding() - add a fault at @place; sets JH_ERR_INVALID. Return: -1 */
int jh_error_add_finding(jh_error_t *err, const char *place, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/** jh_error_count_findings() - how many findings were collected */
unsigned jh_error_count_findings(const jh_error_t *err);

/** jh_error_format() - message and findings, a line each. Return: new string */
char *jh_error_format(const jh_error_t *err);

/** jh_error_clear() - free what the error holds and unset it */
void jh_error_clear(jh_error_t *err);

#endif
