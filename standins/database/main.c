/*
 * Stand-in for a replicated database: one member of a group, with its data in SQLite.
 * docs/internals/ describes the protocol that it serves.
 */

#include "server.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/signal.h>

#define EXIT_BAD_SETTINGS 2

static void address_clear(gpointer data)
{
	g_free(((jh_address_t *)data)->host);
}

/* Parses "NAME=IP:PORT,NAME=IP:PORT,..." and records a finding for each malformed item. */
static int members_parse(sdb_options_t *options, const char *text, jh_error_t *err)
{
	char **items = g_strsplit(text, ",", -1);
	unsigned i;

	for (i = 0; items[i]; i++) {
		char **name_and_address = g_strsplit(items[i], "=", 2);
		jh_address_t address = { .host = NULL };

		if (g_strv_length(name_and_address) == 2 &&
		    jh_address_parse(&address, name_and_address[1], "--group-members", err) == 0) {
			g_ptr_array_add(options->members, g_strdup(name_and_address[0]));
			g_array_append_val(options->addresses, address);
		} else {
			jh_error_add_finding(err, "--group-members", "\"%s\" is not NAME=IP:PORT",
					     items[i]);
		}
		g_strfreev(name_and_address);
	}
	g_strfreev(items);
	return err->code == JH_ERR_NONE ? 0 : -1;
}

static int options_set_defaults_and_check(sdb_options_t *options, const char *listen,
					  const char *members, jh_error_t *err)
{
	jh_address_parse(&options->listen, listen ? listen : "127.0.0.1:0", "--listen", err);
	if (!options->name)
		options->name = g_strdup("single");
	if (members)
		members_parse(options, members, err);
	if (options->members->len == 0) {
		const jh_address_t self = { .host = g_strdup("127.0.0.1") };

		g_ptr_array_add(options->members, g_strdup(options->name));
		g_array_append_val(options->addresses, self);
	}
	if (!g_ptr_array_find_with_equal_func(options->members, options->name, g_str_equal, NULL))
		jh_error_add_finding(err, "--member",
				     "member \"%s\" is not listed in --group-members",
				     options->name);
	if (!options->initial_primary)
		options->initial_primary = g_strdup(g_ptr_array_index(options->members, 0));
	if (options->slots < 1)
		jh_error_add_finding(err, "--slots", "must be at least 1");
	return err->code == JH_ERR_NONE ? 0 : -1;
}

static int options_parse(sdb_options_t *options, int argc, const char **argv, jh_error_t *err)
{
	char *listen = NULL;
	char *members = NULL;
	const struct poptOption option_table[] = {
		{ "listen", 0, POPT_ARG_STRING, &listen, 0, "address to listen on", "IP:PORT" },
		{ "member", 0, POPT_ARG_STRING, &options->name, 0, "name of this member", "NAME" },
		{ "group-members", 0, POPT_ARG_STRING, &members, 0,
		  "all members of the group, including this one", "NAME=IP:PORT,..." },
		{ "initial-primary", 0, POPT_ARG_STRING, &options->initial_primary, 0,
		  "primary of term 1", "NAME" },
		{ "lag-ms", 0, POPT_ARG_INT, &options->lag_ms, 0,
		  "time after which a replica applies a log entry", "MS" },
		{ "open-ms", 0, POPT_ARG_INT, &options->open_ms, 0,
		  "delay before the authentication reply", "MS" },
		{ "delay-ms", 0, POPT_ARG_INT, &options->delay_ms, 0,
		  "network latency added to each response", "MS" },
		{ "slots", 0, POPT_ARG_INT, &options->slots, 0,
		  "maximum number of concurrent statements", "N" },
		{ "connections", 0, POPT_ARG_INT, &options->connections, 0,
		  "maximum number of client connections", "N" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context = poptGetContext("standin_database", argc, argv, option_table, 0);
	int result = poptGetNextOpt(context);

	if (result < -1)
		jh_error_add_finding(err, poptBadOption(context, 0), "%s", poptStrerror(result));
	else
		options_set_defaults_and_check(options, listen, members, err);
	poptFreeContext(context);
	free(listen);
	free(members);
	return err->code == JH_ERR_NONE ? 0 : -1;
}

static void options_clear(sdb_options_t *options)
{
	g_free(options->listen.host);
	free(options->name);
	free(options->initial_primary);
	g_ptr_array_free(options->members, TRUE);
	g_array_free(options->addresses, TRUE);
}

static void on_terminate(struct ev_loop *loop, ev_signal *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static int server_run(sdb_options_t *options, jh_error_t *err)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	sdb_server_t *server = sdb_server_new(options, loop, err);
	ev_signal interrupt;
	ev_signal terminate;

	if (!server)
		return -1;
	ev_signal_init(&interrupt, on_terminate, SIGINT);
	ev_signal_init(&terminate, on_terminate, SIGTERM);
	ev_signal_start(loop, &interrupt);
	ev_signal_start(loop, &terminate);
	printf("standin_database listening port=%u\n", sdb_server_port(server));
	fflush(stdout);
	ev_run(loop, 0);
	sdb_server_free(server);
	ev_loop_destroy(loop);
	return 0;
}

int main(int argc, const char **argv)
{
	sdb_options_t options = { .open_ms = 10, .slots = 5, .connections = 30 };
	jh_error_t err = JH_ERROR_INIT;
	int status = EXIT_SUCCESS;

	signal(SIGPIPE, SIG_IGN);
	options.members = g_ptr_array_new_with_free_func(g_free);
	options.addresses = g_array_new(FALSE, TRUE, sizeof(jh_address_t));
	g_array_set_clear_func(options.addresses, address_clear);
	if (options_parse(&options, argc, argv, &err) < 0)
		status = EXIT_BAD_SETTINGS;
	else if (server_run(&options, &err) < 0)
		status = EXIT_FAILURE;
	if (status != EXIT_SUCCESS) {
		char *text = jh_error_format(&err);

		fprintf(stderr, "standin_database: %s\n", text);
		g_free(text);
	}
	options_clear(&options);
	jh_error_clear(&err);
	return status;
}
