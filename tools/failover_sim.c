/* Prints, as CSV, the failover gaps of the ways weighed for a change of primary: the time between
 * the last acknowledged write before and the first after, in virtual time.
 */

#include "../tests/failover_model.h"

#include <stdio.h>
#include <stdlib.h>

#define SEEDS 100u
#define FAILURE_US (1000 * MS)
#define END_US (5000 * MS)
#define WRITE_INTERVAL_US (5 * MS)

/* A slow platform takes this long for a compare-and-set. */
#define PLATFORM_SLOW_US (500 * MS)
#define PLATFORM_UP_US (3 * MS)
#define PLATFORM_DOWN_US (-1)

typedef struct choice {
	const char *name;
	int64_t value;
} choice_t;

static const choice_t issuers[] = {
	{ "members", JH_TERMS_FROM_MEMBERS },
	{ "platform", JH_TERMS_FROM_PLATFORM },
};

static const choice_t platforms[] = {
	{ "up", PLATFORM_UP_US },
	{ "slow", PLATFORM_SLOW_US },
	{ "down", PLATFORM_DOWN_US },
};

static const choice_t deployments[] = {
	{ "sevadar", 1000 },
	{ "kaplanoglu", 1500 },
};

static void fail_cut(model_t *model)
{
	model_node_set_isolated(model, 0, true);
}

static void fail_freeze(model_t *model)
{
	model->frozen_until_us[0] = model->now_us + 5000 * MS;
}

/* The primary and the observer that would lead the change go together. */
static void fail_with_coordinator(model_t *model)
{
	model_node_set_isolated(model, 0, true);
	model_node_set_isolated(model, MODEL_MEMBERS, true);
}

static const struct {
	const char *name;
	void (*fail)(model_t *model);
} failures[] = {
	{ "cut", fail_cut },
	{ "freeze", fail_freeze },
	{ "cut_with_coordinator", fail_with_coordinator },
};

static int compare_gaps(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

/* Return: the gap in microseconds, -1 if no write was acknowledged after the failure */
static int64_t gap_measure(uint32_t seed, const choice_t *issuer, const choice_t *platform,
			   const choice_t *deployment, void (*fail)(model_t *model))
{
	model_t *model = model_new(seed, (jh_term_issuer_t)issuer->value);
	int64_t gap_us;

	model->latency_us = deployment->value;
	model->write_interval_us = WRITE_INTERVAL_US;
	model->claim_latency_us = platform->value;
	model_run(model, FAILURE_US / 2);
	model->longest_gap_us = 0;
	model_fault_schedule(model, FAILURE_US + g_rand_int_range(model->random, 0, 100) * MS,
			     fail);
	model_run(model, END_US);
	gap_us = END_US - model->last_ack_us < 1000 * MS ? model->longest_gap_us : -1;
	if (model->violation) {
		fprintf(stderr, "failover_sim: seed %u: %s\n", seed, model->violation);
		exit(EXIT_FAILURE);
	}
	model_free(model);
	return gap_us;
}

static double gap_to_ms(int64_t gap_us)
{
	return (double)gap_us / (double)MS;
}

static void row_print(const choice_t *issuer, const choice_t *platform, const choice_t *deployment,
		      unsigned failure)
{
	int64_t gaps[SEEDS];
	unsigned replaced = 0;
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		int64_t gap_us =
			gap_measure(seed, issuer, platform, deployment, failures[failure].fail);

		if (gap_us >= 0)
			gaps[replaced++] = gap_us;
	}
	qsort(gaps, replaced, sizeof(gaps[0]), compare_gaps);
	printf("%s,%s,%s,%s,%u,%u", issuer->name, platform->name, deployment->name,
	       failures[failure].name, SEEDS, replaced);
	if (replaced > 0)
		printf(",%.0f,%.0f,%.0f\n", gap_to_ms(gaps[replaced / 2]),
		       gap_to_ms(gaps[replaced * 99 / 100]), gap_to_ms(gaps[replaced - 1]));
	else
		printf(",-,-,-\n");
	fflush(stdout);
}

int main(void)
{
	unsigned issuer;
	unsigned platform;
	unsigned deployment;
	unsigned failure;

	printf("authority,platform,deployment,failure,runs,replaced,p50_ms,p99_ms,max_ms\n");
	for (issuer = 0; issuer < G_N_ELEMENTS(issuers); issuer++) {
		for (platform = 0; platform < G_N_ELEMENTS(platforms); platform++) {
			for (deployment = 0; deployment < G_N_ELEMENTS(deployments); deployment++) {
				for (failure = 0; failure < G_N_ELEMENTS(failures); failure++)
					row_print(&issuers[issuer], &platforms[platform],
						  &deployments[deployment], failure);
			}
		}
	}
	return EXIT_SUCCESS;
}
