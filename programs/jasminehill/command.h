#ifndef JASMINEHILL_COMMAND_H
#define JASMINEHILL_COMMAND_H

#include "jh_error.h"
#include "jh_platform.h"
#include "jh_rows.h"

#include <popt.h>

/**
 * DOC: Subcommands of the operators' command-line tool
 *
 * Each subcommand of `jasminehill` is a constant subcommand_t, which main() selects by name. They
 * share the functions declared here, which parse flags, print results, and query the platform and
 * the entry VMs. All of them block until they have a result, and run in a single thread.
 */

/** enum exit_status - exit statuses of the tool, as documented by --help */
typedef enum exit_status {
	STATUS_OK = 0,
	STATUS_FAILED = 1,
	/** @STATUS_USAGE: wrong flags or arguments, or findings in the operators' tables */
	STATUS_USAGE = 2,
	/** @STATUS_CONFLICT: another operator's change replaced the version that was edited */
	STATUS_CONFLICT = 3,
} exit_status_t;

/**
 * struct subcommand - a subcommand of the tool
 * @name: name on the command line
 * @arguments: synopsis of the arguments, for the help
 * @doc: description in one line, for the help
 * @run: runs the subcommand; argv[0] is its name and the flags and arguments follow. Prints its own
 *	errors; returns an exit status
 */
typedef struct subcommand {
	const char *name;
	const char *arguments;
	const char *doc;
	exit_status_t (*run)(int argc, const char **argv);
} subcommand_t;

extern const subcommand_t check_command;
extern const subcommand_t apply_command;
extern const subcommand_t get_command;
extern const subcommand_t show_command;
extern const subcommand_t hash_key_command;
extern const subcommand_t report_command;
extern const subcommand_t timeline_command;
extern const subcommand_t explain_command;

/* Flags and output */

/**
 * arguments_parse() - parse the flags and arguments of a subcommand
 * @command: the subcommand, for its name and help
 * @argc: number of strings in @argv
 * @argv: the subcommand's name, then its flags and arguments
 * @options: popt table of the flags, each with a variable to set and 0 as its value; popt stores
 *	new strings in these variables, which the caller frees with free()
 * @min_count: lowest number of arguments, not counting flags
 * @max_count: highest number of arguments
 * @parsed: set to new copies of the arguments, terminated by NULL; free with g_strfreev();
 *	unchanged after an error
 *
 * Prints usage errors on standard error. With --help it prints the help and exits the process.
 *
 * Return: 0, or -1 after a usage error
 */
int arguments_parse(const subcommand_t *command, int argc, const char **argv,
		    const struct poptOption *options, int min_count, int max_count, char ***parsed);

/**
 * setting_get() - get a setting from its flag or else from an environment variable
 * @flag: value of the flag, NULL if it was not given
 * @variable: name of the environment variable
 *
 * Return: borrowed text, NULL if neither is set
 */
const char *setting_get(const char *flag, const char *variable);

/** error_print() - print an error on standard error: its findings, or its message if it has none */
void error_print(const jh_error_t *err);

/** rows_print() - print rows and their header on standard output, in aligned columns or as CSV */
void rows_print(const jh_rows_t *rows, bool as_csv);

/* Requests to the platform */

/** typedef platform_client_t - sends requests to the platform and waits for each reply */
typedef struct platform_client platform_client_t;

/**
 * platform_client_new() - make a client of the platform
 * @url: URL of the platform; borrowed until platform_client_free()
 * @err: set if the event loop or the HTTP library can't be started
 *
 * Sends no request yet: a wrong URL or an unreachable platform shows in the status of the replies.
 *
 * Return: new client, NULL with the error set
 */
platform_client_t *platform_client_new(const char *url, jh_error_t *err);

/**
 * platform_client_call() - send one request and wait for its reply
 * @client: the client
 * @call: what to do
 * @table: table name, NULL for objects
 * @name: name of the row or object, or the prefix of a list
 * @version: row version known to the caller (GET_ROW; 0: none) or to replace (PUT_ROW; 0: create
 *	the row)
 * @body: bytes to put, NULL for a read; the client takes its own reference
 *
 * Return: the reply, whose status says whether the request succeeded; borrowed until the next call
 * or platform_client_free()
 */
const jh_platform_reply_t *platform_client_call(platform_client_t *client, jh_platform_call_t call,
						const char *table, const char *name,
						uint64_t version, GBytes *body);

/** platform_client_free() - free the client and its last reply; NULL is allowed */
void platform_client_free(platform_client_t *client);

/* Queries to entry VMs */

/**
 * entry_fetch_topic() - query the virtual database of an entry VM by SHOW
 * @entry: address of the entry VM, "IP:PORT"
 * @team: team to connect as; NULL: the environment variable JASMINEHILL_TEAM, or else "operators"
 * @topic: topic of the SHOW statement; inserted without quoting, so callers validate it
 * @err: set if the address is invalid, the VM is unreachable, or it rejects the statement
 *
 * The team's key is read from the environment variable JASMINEHILL_KEY. There is no flag for it,
 * because other users of the machine can read the flags of a process.
 *
 * Return: new rows, free with jh_rows_free(); NULL with the error set
 */
jh_rows_t *entry_fetch_topic(const char *entry, const char *team, const char *topic,
			     jh_error_t *err);

/** AS_OPTION() - popt entry of the flag --as, which sets the char * @variable to a team's name */
#define AS_OPTION(variable)                                                                        \
	{                                                                                          \
		"as", 0, POPT_ARG_STRING, &(variable), 0, "team to connect as", "TEAM"             \
	}

#endif
