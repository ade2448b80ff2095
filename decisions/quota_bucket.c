/* Token bucket of quota clients and servers, in which each token has a time of expiry. */

#include "jh_quota.h"

/* Number of slices into which a token's lifetime is divided, which bounds the memory. */
#define SLICES_PER_LIFETIME 32

typedef struct slice {
	int64_t amount;
	int64_t expiry_us;
} slice_t;

static slice_t *get_slice(const jh_quota_bucket_t *bucket, unsigned i)
{
	return &g_array_index(bucket->slices, slice_t, i);
}

void jh_quota_bucket_init(jh_quota_bucket_t *bucket)
{
	bucket->slices = g_array_new(FALSE, FALSE, sizeof(slice_t));
	bucket->merge_us = 0;
}

void jh_quota_bucket_reset(jh_quota_bucket_t *bucket, int64_t lifetime_us)
{
	g_array_set_size(bucket->slices, 0);
	bucket->merge_us = lifetime_us / SLICES_PER_LIFETIME;
}

void jh_quota_bucket_clear(jh_quota_bucket_t *bucket)
{
	g_clear_pointer(&bucket->slices, g_array_unref);
}

void jh_quota_bucket_add(jh_quota_bucket_t *bucket, int64_t amount, int64_t expiry_us)
{
	const slice_t slice = { .amount = amount, .expiry_us = expiry_us };
	unsigned i = bucket->slices->len;

	if (amount <= 0)
		return;
	while (i > 0 && get_slice(bucket, i - 1)->expiry_us > expiry_us)
		i--;
	/* Merge only into a slice that expires earlier, so that no token's lifetime grows. */
	if (i > 0 && expiry_us - get_slice(bucket, i - 1)->expiry_us < bucket->merge_us)
		get_slice(bucket, i - 1)->amount += amount;
	else
		g_array_insert_val(bucket->slices, i, slice);
}

int64_t jh_quota_bucket_level(jh_quota_bucket_t *bucket, int64_t now_us)
{
	int64_t level = 0;
	unsigned expired = 0;
	unsigned i;

	while (expired < bucket->slices->len && get_slice(bucket, expired)->expiry_us <= now_us)
		expired++;
	g_array_remove_range(bucket->slices, 0, expired);
	for (i = 0; i < bucket->slices->len; i++)
		level += get_slice(bucket, i)->amount;
	return level;
}

int64_t jh_quota_bucket_first_expiry_us(jh_quota_bucket_t *bucket, int64_t now_us)
{
	jh_quota_bucket_level(bucket, now_us);
	return bucket->slices->len > 0 ? get_slice(bucket, 0)->expiry_us : INT64_MAX;
}

int64_t jh_quota_bucket_take_some(jh_quota_bucket_t *bucket, int64_t max_amount,
				  int64_t *lifetime_us, int64_t now_us)
{
	int64_t min_lifetime_us = *lifetime_us;
	int64_t taken = 0;
	unsigned i = 0;

	jh_quota_bucket_level(bucket, now_us);
	while (i < bucket->slices->len && taken < max_amount) {
		slice_t *slice = get_slice(bucket, i);
		int64_t slice_lifetime_us = slice->expiry_us - now_us;
		int64_t part = MIN(slice->amount, max_amount - taken);

		if (slice_lifetime_us < min_lifetime_us) {
			i++;
			continue;
		}
		if (taken == 0)
			*lifetime_us = slice_lifetime_us;
		taken += part;
		slice->amount -= part;
		if (slice->amount == 0)
			g_array_remove_index(bucket->slices, i);
	}
	return taken;
}

bool jh_quota_bucket_take(jh_quota_bucket_t *bucket, int64_t amount, int64_t now_us)
{
	int64_t lifetime_us = 0;

	if (jh_quota_bucket_level(bucket, now_us) < amount)
		return false;
	jh_quota_bucket_take_some(bucket, amount, &lifetime_us, now_us);
	return true;
}

int64_t jh_quota_refill_amount(int64_t rate, uint32_t parts, int64_t time_us)
{
	/* A clock that runs fast must not yield more than the rate. */
	const int64_t reduced_ppm = 1000000 - JH_QUOTA_DRIFT_PPM;

	return (int64_t)((__int128)rate * parts * time_us / JH_QUOTA_PARTS / 1000000 * reduced_ppm /
			 1000000);
}

int64_t jh_quota_token_lifetime_us(const jh_quota_limit_t *limit)
{
	int64_t lifetime_us =
		limit->rate > 0 ? (int64_t)((__int128)limit->burst * 1000000 / limit->rate) : 0;

	/* The clock that measures the lifetime may run slow. */
	lifetime_us -= lifetime_us * 2 * JH_QUOTA_DRIFT_PPM / 1000000 + 1;
	return MAX(lifetime_us, 0);
}

void jh_quota_refill_set(jh_quota_refill_t *refill, const jh_quota_limit_t *limit, uint32_t parts,
			 int64_t now_us)
{
	*refill = (jh_quota_refill_t){
		.rate = limit->rate,
		.parts = parts,
		.lifetime_us = jh_quota_token_lifetime_us(limit),
		.base_us = now_us,
		.last_us = now_us,
	};
}

/*
 * Adds the tokens up to @now_us in steps; those of a step expire one lifetime after its start.
 * Tokens that have expired already are not put into the bucket, but refill->added includes them, so
 * that no later step adds them.
 */
void jh_quota_refill_run(jh_quota_refill_t *refill, jh_quota_bucket_t *bucket, int64_t now_us)
{
	int64_t step_us = MAX(bucket->merge_us, 1);

	if (now_us - refill->last_us > refill->lifetime_us) {
		refill->last_us = now_us - refill->lifetime_us;
		refill->added = jh_quota_refill_amount(refill->rate, refill->parts,
						       refill->last_us - refill->base_us);
	}
	while (refill->last_us < now_us) {
		int64_t until_us = MIN(refill->last_us + step_us, now_us);
		int64_t total = jh_quota_refill_amount(refill->rate, refill->parts,
						       until_us - refill->base_us);

		jh_quota_bucket_add(bucket, total - refill->added,
				    refill->last_us + refill->lifetime_us);
		refill->added = total;
		refill->last_us = until_us;
	}
}
