/*
 * The daemon of an entry VM. It parses its settings, starts the modules of the selected profile and
 * runs the event-loop kernel until a signal ends it.
 */

#include "jh_log.h"
#include "jh_profile.h"

#include <sodium.h>
#include <stdio.h>
#include <sys/signal.h>

#define EXIT_BAD_SETTINGS 2

/* Limits the log to 25 KB/s at 250 bytes a line, and its cost to 0.1 % of a small VM's CPU time. */
#define LOG_LINES_PER_S 100

/*
 * The first signal starts a graceful shutdown. A further SIGTERM changes nothing, so that what was
 * accepted is answered; SIGINT, sent from a terminal, then stops the daemon immediately.
 */
static void on_terminate(struct ev_loop *loop, ev_signal *watcher, int events)
{
	jh_kernel_t *kernel = watcher->data;

	(void)loop;
	(void)events;
	if (!jh_kernel_is_draining(kernel))
		jh_kernel_drain(kernel);
	else if (watcher->signum == SIGINT)
		jh_kernel_stop(kernel);
	else
		jh_log(JH_LOG_INFO, "kernel", "draining", "signal=again");
}

/* Settings come from flags and environment variables only, so there is no file to reload. */
static void on_hangup(struct ev_loop *loop, ev_signal *watcher, int events)
{
	(void)loop;
	(void)watcher;
	(void)events;
	jh_log(JH_LOG_INFO, "kernel", "reload", "result=nothing_to_read");
}

static void error_print(const jh_error_t *err)
{
	char *text = jh_error_format(err);

	fprintf(stderr, "jasminehilld: %s\n", text);
	g_free(text);
}

static int modules_add(jh_kernel_t *kernel, jh_error_t *err)
{
	const jh_module_t *const *module;

	for (module = jh_profile_get(jh_kernel_settings(kernel))->modules; *module; module++) {
		if (jh_kernel_add_module(kernel, *module, err) < 0)
			return -1;
	}
	return 0;
}

static int daemon_run(const jh_settings_t *settings, jh_error_t *err)
{
	ev_signal sigint_watcher;
	ev_signal sigterm_watcher;
	ev_signal sighup_watcher;
	jh_kernel_t *kernel = jh_kernel_new(settings, err);
	int result = -1;

	if (!kernel)
		return -1;
	if (modules_add(kernel, err) < 0)
		goto done;
	ev_signal_init(&sigint_watcher, on_terminate, SIGINT);
	ev_signal_init(&sigterm_watcher, on_terminate, SIGTERM);
	ev_signal_init(&sighup_watcher, on_hangup, SIGHUP);
	sigint_watcher.data = kernel;
	sigterm_watcher.data = kernel;
	ev_signal_start(jh_kernel_loop(kernel), &sigint_watcher);
	ev_signal_start(jh_kernel_loop(kernel), &sigterm_watcher);
	ev_signal_start(jh_kernel_loop(kernel), &sighup_watcher);
	jh_log(JH_LOG_INFO, "kernel", "started", "dc=%s boot=%016" G_GINT64_MODIFIER "x version=%s",
	       settings->dc, jh_kernel_boot(kernel), JH_VERSION);
	jh_kernel_run(kernel);
	ev_signal_stop(jh_kernel_loop(kernel), &sigint_watcher);
	ev_signal_stop(jh_kernel_loop(kernel), &sigterm_watcher);
	ev_signal_stop(jh_kernel_loop(kernel), &sighup_watcher);
	jh_log(JH_LOG_INFO, "kernel", "stopped", "boot=%016" G_GINT64_MODIFIER "x",
	       jh_kernel_boot(kernel));
	result = 0;
done:
	jh_kernel_free(kernel);
	return result;
}

int main(int argc, const char **argv)
{
	jh_settings_t settings;
	jh_error_t err = JH_ERROR_INIT;
	int parse_result = jh_settings_parse(&settings, argc, argv, &err);
	int exit_status = EXIT_SUCCESS;

	signal(SIGPIPE, SIG_IGN);
	if (parse_result < 0 || sodium_init() < 0) {
		error_print(&err);
		exit_status = EXIT_BAD_SETTINGS;
	} else if (parse_result == JH_SETTINGS_RUN) {
		jh_log_init(settings.vm, settings.log_level);
		if (g_str_equal(settings.profile, "fleet"))
			jh_log_set_rate_limit(LOG_LINES_PER_S);
		if (daemon_run(&settings, &err) < 0) {
			error_print(&err);
			exit_status = EXIT_FAILURE;
		}
	}
	jh_settings_clear(&settings);
	jh_error_clear(&err);
	return exit_status;
}
