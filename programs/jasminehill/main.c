/* The operators' command-line tool: selects the subcommand and prints the help. */

#include "command.h"

#include "jh_log.h"

#include <signal.h>
#include <sodium.h>
#include <stdio.h>

static const subcommand_t *const commands[] = {
	&check_command,	   &apply_command,  &get_command,      &show_command,
	&hash_key_command, &report_command, &timeline_command, &explain_command,
};

static void help_print(FILE *out)
{
	unsigned i;

	fputs("Usage: jasminehill COMMAND [FLAGS] [ARGUMENTS]\n\nCommands:\n", out);
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-9s %-24s %s\n", commands[i]->name, commands[i]->arguments,
			commands[i]->doc);
	fputs("\n'jasminehill COMMAND --help' lists the flags of a command.\n"
	      "\nExample session:\n"
	      "  export JASMINEHILL_PLATFORM=http://10.0.0.9:8080 JASMINEHILL_ENTRY=10.0.1.1:6432\n"
	      "  jasminehill get routes.json pools.json      # the tables in force, and their version\n"
	      "  jasminehill check routes.json pools.json    # after editing\n"
	      "  jasminehill apply routes.json pools.json --base 12 --wait\n"
	      "  jasminehill show vms\n"
	      "\nEnvironment variables:\n"
	      "  JASMINEHILL_PLATFORM  URL of the platform (flag --platform)\n"
	      "  JASMINEHILL_ENTRY     IP:PORT of an entry VM (flag --entry); separate several by commas\n"
	      "  JASMINEHILL_TEAM      team to connect as (flag --as; default: operators)\n"
	      "  JASMINEHILL_KEY       that team's key\n"
	      "\nExit status: 0 success, 1 failure, 2 usage error or findings in the tables,\n"
	      "3 conflict with another operator's change.\n",
	      out);
}

int main(int argc, const char **argv)
{
	unsigned i;

	signal(SIGPIPE, SIG_IGN);
	jh_log_init("operator", "error");
	if (sodium_init() < 0)
		return STATUS_FAILED;
	if (argc < 2) {
		help_print(stderr);
		return STATUS_USAGE;
	}
	if (g_str_equal(argv[1], "--help") || g_str_equal(argv[1], "-?")) {
		help_print(stdout);
		return STATUS_OK;
	}
	if (g_str_equal(argv[1], "--version")) {
		puts("jasminehill " JH_VERSION);
		return STATUS_OK;
	}
	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (g_str_equal(argv[1], commands[i]->name))
			return (int)commands[i]->run(argc - 1, argv + 1);
	}
	fprintf(stderr, "jasminehill: unknown command '%s'; see jasminehill --help\n", argv[1]);
	return STATUS_USAGE;
}
