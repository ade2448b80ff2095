/*
 * Simulates failovers in virtual time, for each combination of term issuer, state of the platform,
 * deployment and fault. Prints as CSV the percentiles of the write gap, which is the longest time
 * between two acknowledged writes of a run.
 */

#include "../tests/failover_model.h"

#include <stdio.h>
#include <stdlib.h>

#define SEEDS_PER_ROW 100u
#define FAILURE_US (1000 * MS)
#define END_US (5000 * MS)
#define WRITE_INTERVAL_US (5 * MS)

/* Latency of a compare-and-set on the platform; -1: the platform does not respond. */
#define CLAIM_SLOW_US (500 * MS)
#define CLAIM_UP_US (3 * MS)
#define CLAIM_DOWN_US (-1)

typedef struct setting {
	const char *name;
	/* A jh_term_issuer_t, or a latency in microseconds. */
	int64_t value;
} setting_t;

static const setting_t issuers[] = {
	{ "members", JH_TERMS_FROM_MEMBERS },
	{ "platform", JH_TERMS_FROM_PLATFORM },
};

static const setting_t platforms[] = {
	{ "up", CLAIM_UP_US },
	{ "slow", CLAIM_SLOW_US },
	{ "down", CLAIM_DOWN_US },
};

/* Latency of a message between nodes. */
static const setting_t deployments[] = {
	{ "sevadar", 1000 },
	{ "kaplanoglu", 1500 },
};

static void fault_isolate_primary(model_t *model)
{
	model_node_set_isolated(model, 0, true);
}

static void fault_freeze_primary(model_t *model)
{
	model->frozen_until_us[0] = model->now_us + 5000 * MS;
}

/* Isolates the primary and the VM that would coordinate its failover. */
static void fault_isolate_primary_and_coordinator(model_t *model)
{
	model_node_set_isolated(model, 0, true);
	model_node_set_isolated(model, MODEL_MEMBERS, true);
}

static const struct {
	const char *name;
	void (*inject)(model_t *model);
} faults[] = {
	{ "cut", fault_isolate_primary },
	{ "freeze", fault_freeze_primary },
	{ "cut_with_coordinator", fault_isolate_primary_and_coordinator },
};

static int gap_compare(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

/*
 * Simulates one failover.
 *
 * Return: longest write gap in microseconds; -1 if no write was acknowledged in the last second
 */
static int64_t gap_measure(uint32_t seed, const setting_t *issuer, const setting_t *platform,
			   const setting_t *deployment, void (*inject)(model_t *model))
{
	model_t *model = model_new(seed, (jh_term_issuer_t)issuer->value);
	int64_t gap_us;

	model->latency_us = deployment->value;
	model->write_interval_us = WRITE_INTERVAL_US;
	model->claim_latency_us = platform->value;
	model_run(model, FAILURE_US / 2);
	model->longest_write_gap_us = 0;
	model_fault_schedule(model, FAILURE_US + g_rand_int_range(model->random, 0, 100) * MS,
			     inject);
	model_run(model, END_US);
	gap_us = END_US - model->last_ack_us < 1000 * MS ? model->longest_write_gap_us : -1;
	if (model->violation) {
		fprintf(stderr, "failover_sim: seed %u: %s\n", seed, model->violation);
		exit(EXIT_FAILURE);
	}
	model_free(model);
	return gap_us;
}

static double us_to_ms(int64_t time_us)
{
	return (double)time_us / (double)MS;
}

static void row_print(const setting_t *issuer, const setting_t *platform,
		      const setting_t *deployment, unsigned fault)
{
	int64_t gaps_us[SEEDS_PER_ROW];
	unsigned recovered_runs = 0;
	uint32_t seed;

	for (seed = 1; seed <= SEEDS_PER_ROW; seed++) {
		int64_t gap_us =
			gap_measure(seed, issuer, platform, deployment, faults[fault].inject);

		if (gap_us >= 0)
			gaps_us[recovered_runs++] = gap_us;
	}
	qsort(gaps_us, recovered_runs, sizeof(gaps_us[0]), gap_compare);
	printf("%s,%s,%s,%s,%u,%u", issuer->name, platform->name, deployment->name,
	       faults[fault].name, SEEDS_PER_ROW, recovered_runs);
	if (recovered_runs > 0)
		printf(",%.0f,%.0f,%.0f\n", us_to_ms(gaps_us[recovered_runs / 2]),
		       us_to_ms(gaps_us[recovered_runs * 99 / 100]),
		       us_to_ms(gaps_us[recovered_runs - 1]));
	else
		printf(",-,-,-\n");
	fflush(stdout);
}

int main(void)
{
	unsigned issuer;
	unsigned platform;
	unsigned deployment;
	unsigned fault;

	printf("authority,platform,deployment,failure,runs,replaced,p50_ms,p99_ms,max_ms\n");
	for (issuer = 0; issuer < G_N_ELEMENTS(issuers); issuer++) {
		for (platform = 0; platform < G_N_ELEMENTS(platforms); platform++) {
			for (deployment = 0; deployment < G_N_ELEMENTS(deployments); deployment++) {
				for (fault = 0; fault < G_N_ELEMENTS(faults); fault++)
					row_print(&issuers[issuer], &platforms[platform],
						  &deployments[deployment], fault);
			}
		}
	}
	return EXIT_SUCCESS;
}
