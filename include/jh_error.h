#ifndef JH_ERROR_H
#define JH_ERROR_H

#include <glib.h>
#include <stdbool.h>

/**
 * DOC: Errors
 *
 * A function that can fail takes a jh_error_t as its last parameter, and returns -1 or NULL with
 * the error set. The function that detects the failure sets the error; its callers pass it on.
 * Checks of user input do not stop at the first fault: they add findings, each with its place,
 * which are reported together.
 */

/** enum jh_errcode - kinds of failure that callers distinguish */
typedef enum jh_errcode {
	/** @JH_ERR_NONE: no error is set */
	JH_ERR_NONE = 0,
	/** @JH_ERR_INVALID: malformed input or a setting out of range */
	JH_ERR_INVALID,
	/** @JH_ERR_SYSTEM: a system call failed */
	JH_ERR_SYSTEM,
	/** @JH_ERR_PROTOCOL: a message from another process violates its protocol */
	JH_ERR_PROTOCOL,
	/** @JH_ERR_UNAVAILABLE: another VM, a database or the platform is unreachable */
	JH_ERR_UNAVAILABLE,
	/** @JH_ERR_CONFLICT: a compare-and-set failed because the row had changed */
	JH_ERR_CONFLICT,
	/** @JH_ERR_DENIED: the team or key has no permission */
	JH_ERR_DENIED,
} jh_errcode_t;

/**
 * struct jh_finding - one fault in user input
 * @place: location of the fault in the input, e.g. "routes[3].group" or "--listen"; owned
 * @message: description of the fault; owned
 */
typedef struct jh_finding {
	char *place;
	char *message;
} jh_finding_t;

/**
 * struct jh_error - a failure and the findings collected for it
 * @code: kind of failure, JH_ERR_NONE if unset
 * @message: one line, without a full stop; truncated if it is too long
 * @findings: array of jh_finding_t, owned; NULL while there are none
 */
typedef struct jh_error {
	jh_errcode_t code;
	char message[256];
	GArray *findings;
} jh_error_t;

/** JH_ERROR_INIT - initializer of an unset error */
#define JH_ERROR_INIT                                                                              \
	{                                                                                          \
		.code = JH_ERR_NONE                                                                \
	}

/**
 * jh_error_set() - set an error
 * @err: unchanged if it is set already, so that the first failure is reported; may be NULL
 * @code: kind of failure, not JH_ERR_NONE
 * @format: printf format of the message
 *
 * Return: -1 always, for the caller to return
 */
int jh_error_set(jh_error_t *err, jh_errcode_t code, const char *format, ...) G_GNUC_PRINTF(3, 4);

/**
 * jh_error_add_finding() - add one fault in user input
 * @err: gets the finding, and JH_ERR_INVALID if it is not set yet; may be NULL
 * @place: location of the fault in the input; copied
 * @format: printf format of the description
 *
 * Return: -1 always, for the caller to return
 */
int jh_error_add_finding(jh_error_t *err, const char *place, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/** jh_error_count_findings() - get the number of findings */
unsigned jh_error_count_findings(const jh_error_t *err);

/** jh_error_format() - format the message and the findings, one line each. Return: new string */
char *jh_error_format(const jh_error_t *err);

/** jh_error_clear() - free the findings and unset the error, which can then be reused */
void jh_error_clear(jh_error_t *err);

#endif
