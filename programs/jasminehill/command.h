#ifndef JASMINEHILL_COMMAND_H
#define JASMINEHILL_COMMAND_H

#include "jh_error.h"
#include "jh_platform.h"
#include "jh_rows.h"

#include <popt.h>

/** enum exit_status - exit statuses of the operators' command, as documented by --help */
typedef enum exit_status {
	STATUS_OK = 0,
	STATUS_FAILED = 1,
	/** @STATUS_USAGE: wrong usage, or the tables have findings */
	STATUS_USAGE = 2,
	/** @STATUS_CONFLICT: another change came first */
	STATUS_CONFLICT = 3,
} exit_status_t;

/**
 * struct command - a subcommand
 * @name: as typed
 * @arguments: for the help
 * @doc: one line for the help
 * @run: takes the arguments after the name, which is argv[0]; returns an exit status
 */
typedef struct command {
	const char *name;
	const char *arguments;
	const char *doc;
	exit_status_t (*run)(int argc, const char **argv);
} command_t;

extern const command_t check_command;
extern const command_t apply_command;
extern const command_t get_command;
extern const command_t show_command;
extern const command_t hash_key_command;
extern const command_t report_command;
extern const command_t timeline_command;
extern const command_t explain_command;

/* ---- options ---- */

/**
 * arguments_parse() - parse flags of a subcommand; usage errors are printed
 * @command: the subcommand
 * @argc: count of @argv
 * @argv: arguments, the subcommand's name first
 * @options: popt table
 * @min: fewest arguments besides flags
 * @max: most arguments
 * @out: set to new copies of the arguments, ended by NULL; free with g_strfreev()
 *
 * Return: 0, or -1 after a usage error
 */
int arguments_parse(const command_t *command, int argc, const char **argv,
		    const struct poptOption *options, int min, int max, char ***out);

/** setting_text() - @flag, or the variable's value, or NULL. Return: borrowed */
const char *setting_text(const char *flag, const char *variable);

/** error_print() - message and findings on standard error */
void error_print(const jh_error_t *err);

/** rows_print() - a table with aligned columns, or CSV, on standard output */
void rows_print(const jh_rows_t *rows, bool as_csv);

/* ---- platform ---- */

/** typedef client_t - calls the platform and waits for each answer */
typedef struct client client_t;

/** client_new() - Return: new, or NULL with the error set; borrows @url */
client_t *client_new(const char *url, jh_error_t *err);

/** client_call() - one call. Return: borrowed reply, until the next call */
const jh_platform_reply_t *client_call(client_t *client, jh_platform_call_t call, const char *table,
				       const char *name, uint64_t version, GBytes *body);

/** client_free() - end the client; NULL is allowed */
void client_free(client_t *client);

/* ---- entries ---- */

/**
 * entry_show() - ask an entry for a topic
 * @entry: "IP:PORT"
 * @team: team to connect as, NULL for the variable JASMINEHILL_TEAM; its key comes from
 *        JASMINEHILL_KEY only, since other users of a machine see flags
 * @topic: as after SHOW
 * @err: why it failed
 *
 * Return: new rows, or NULL with the error set
 */
jh_rows_t *entry_show(const char *entry, const char *team, const char *topic, jh_error_t *err);

/** AS_OPTION() - popt row of the flag that names the team to connect as */
#define AS_OPTION(variable)                                                                        \
	{                                                                                          \
		"as", 0, POPT_ARG_STRING, &(variable), 0, "team to connect as", "TEAM"             \
	}

#endif
