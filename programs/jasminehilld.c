/* The daemon of an entry VM: reads its settings, starts the built-in modules and runs the kernel.
 */

#include "jh_log.h"
#include "jh_profile.h"

#include <sodium.h>
#include <stdio.h>
#include <sys/signal.h>

#define EXIT_BAD_SETTINGS 2

/* At 250 bytes a line this is 25 KB a second, and a thousandth of a small VM's processor. */
#define LOG_LINES_PER_S 100

static void on_terminate(struct ev_loop *loop, ev_signal *watcher, int events)
{
	jh_kernel_t *kernel = watcher->data;

	(void)loop;
	(void)events;
	if (jh_kernel_is_draining(kernel))
		jh_kernel_stop(kernel);
	else
		jh_kernel_drain(kernel);
}

/* All settings come from flags and variables, so that there is nothing to read again. */
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

static int modules_start(jh_kernel_t *kernel, jh_error_t *err)
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
	ev_signal interrupt;
	ev_signal terminate;
	ev_signal hangup;
	jh_kernel_t *kernel = jh_kernel_new(settings, err);
	int result = -1;

	if (!kernel)
		return -1;
	if (modules_start(kernel, err) < 0)
		goto done;
	ev_signal_init(&interrupt, on_terminate, SIGINT);
	ev_signal_init(&terminate, on_terminate, SIGTERM);
	ev_signal_init(&hangup, on_hangup, SIGHUP);
	interrupt.data = kernel;
	terminate.data = kernel;
	ev_signal_start(jh_kernel_loop(kernel), &interrupt);
	ev_signal_start(jh_kernel_loop(kernel), &terminate);
	ev_signal_start(jh_kernel_loop(kernel), &hangup);
	jh_log(JH_LOG_INFO, "kernel", "started", "dc=%s boot=%016" G_GINT64_MODIFIER "x version=%s",
	       settings->dc, jh_kernel_boot(kernel), JH_VERSION);
	jh_kernel_run(kernel);
	ev_signal_stop(jh_kernel_loop(kernel), &interrupt);
	ev_signal_stop(jh_kernel_loop(kernel), &terminate);
	ev_signal_stop(jh_kernel_loop(kernel), &hangup);
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
	int result = jh_settings_parse(&settings, argc, argv, &err);
	int status = EXIT_SUCCESS;

	signal(SIGPIPE, SIG_IGN);
	if (result < 0 || sodium_init() < 0) {
		error_print(&err);
		status = EXIT_BAD_SETTINGS;
	} else if (result == JH_SETTINGS_RUN) {
		jh_log_init(settings.vm, settings.log_level);
		if (g_str_equal(settings.profile, "fleet"))
			jh_log_set_rate_limit(LOG_LINES_PER_S);
		if (daemon_run(&settings, &err) < 0) {
			error_print(&err);
			status = EXIT_FAILURE;
		}
	}
	jh_settings_clear(&settings);
	jh_error_clear(&err);
	return status;
}
