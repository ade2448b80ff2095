/*
 * Plays schedules of faults on the model of a fleet, see docs/internals/fleet-model.md. Prints the
 * seeds that break a rule, each with its schedule in the shortest form found, and a line of counts.
 */

#include "fleet_model.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct options {
	int first_seed;
	int seeds;
	int vms_max;
	int trace;
	int keep_schedule;
	fleet_run_t mechanisms;
} options_t;

static void add_result(fleet_result_t *sum, const fleet_result_t *result)
{
	sum->probes += result->probes;
	sum->served += result->served;
	sum->frames += result->frames;
	sum->store_calls += result->store_calls;
	sum->promotions += result->promotions;
	sum->cancelled += result->cancelled;
	sum->rolled_back += result->rolled_back;
	sum->config_slowest_us = MAX(sum->config_slowest_us, result->config_slowest_us);
}

/* Return: whether the seed's run broke a rule */
static bool play_seed(const options_t *options, guint32 seed, fleet_result_t *sum)
{
	fleet_run_t run = fleet_run_draw(seed, (unsigned)options->vms_max);
	fleet_result_t result;
	bool is_broken;

	run.without_checks = options->mechanisms.without_checks;
	run.without_lease = options->mechanisms.without_lease;
	run.without_bound = options->mechanisms.without_bound;
	result = fleet_run_play(&run);
	is_broken = result.rule != NULL;
	add_result(sum, &result);
	if (is_broken) {
		printf("%s\n", result.text);
		if (!options->keep_schedule)
			fleet_run_shrink(&run);
		fleet_run_print(&run);
		fflush(stdout);
	}
	fleet_result_clear(&result);
	if (options->trace) {
		run.trace = true;
		result = fleet_run_play(&run);
		fleet_result_clear(&result);
	}
	return is_broken;
}

int main(int argc, const char **argv)
{
	options_t options = { .first_seed = 1, .seeds = 100, .vms_max = 9 };
	char *log_level = NULL;
	int without_checks = 0;
	int without_lease = 0;
	int without_bound = 0;
	struct poptOption table[] = {
		{ "seed", 0, POPT_ARG_INT, &options.first_seed, 0, "first seed", "NUMBER" },
		{ "seeds", 0, POPT_ARG_INT, &options.seeds, 0, "number of seeds", "NUMBER" },
		{ "vms", 0, POPT_ARG_INT, &options.vms_max, 0, "largest fleet, 3 to 64", "NUMBER" },
		{ "trace", 0, POPT_ARG_NONE, &options.trace, 0, "print what happens", NULL },
		{ "log", 0, POPT_ARG_STRING, &log_level, 0, "log of the VMs' tasks", "LEVEL" },
		{ "whole", 0, POPT_ARG_NONE, &options.keep_schedule, 0,
		  "print failing schedules whole", NULL },
		{ "without-checks", 0, POPT_ARG_NONE, &without_checks, 0,
		  "the store answers no check of a table", NULL },
		{ "without-lease", 0, POPT_ARG_NONE, &without_lease, 0,
		  "VMs use their primaries without a lease", NULL },
		{ "without-bound", 0, POPT_ARG_NONE, &without_bound, 0,
		  "VMs serve by configurations known to be replaced", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context = poptGetContext("fleet_sim", argc, argv, table, 0);
	fleet_result_t sum = { 0 };
	unsigned broken = 0;
	int i;

	if (poptGetNextOpt(context) < -1 || options.vms_max < 3 || options.vms_max > 64 ||
	    options.seeds < 1) {
		poptPrintUsage(context, stderr, 0);
		return EXIT_FAILURE;
	}
	poptFreeContext(context);
	if (log_level)
		fleet_log_init(log_level);
	free(log_level);
	options.mechanisms = (fleet_run_t){ .without_checks = without_checks,
					    .without_lease = without_lease,
					    .without_bound = without_bound };
	for (i = 0; i < options.seeds; i++)
		broken += play_seed(&options, (guint32)(options.first_seed + i), &sum);
	printf("seeds=%d broken=%u probes=%" G_GUINT64_FORMAT " served=%" G_GUINT64_FORMAT
	       " frames=%" G_GUINT64_FORMAT " store_calls=%" G_GUINT64_FORMAT
	       " promotions=%" G_GUINT64_FORMAT " cancelled=%" G_GUINT64_FORMAT
	       " rolled_back=%" G_GUINT64_FORMAT " config_slowest_ms=%" G_GINT64_FORMAT "\n",
	       options.seeds, broken, sum.probes, sum.served, sum.frames, sum.store_calls,
	       sum.promotions, sum.cancelled, sum.rolled_back, sum.config_slowest_us / 1000);
	return broken > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}
