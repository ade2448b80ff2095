/* Tokens that become void: the amounts that quota clients and servers hold. */

#include "jh_quota.h"

/* A token's life is kept in this many slices. */
#define SLICES_A_LIFE 32

typedef struct slice {
	int64_t amount;
	int64_t void_us;
} slice_t;

static slice_t *slice_at(const jh_quota_bucket_t *jar, unsigned i)
{
	return &g_array_index(jar->slices, slice_t, i);
}

void jh_quota_bucket_init(jh_quota_bucket_t *jar)
{
	jar->slices = g_array_new(FALSE, FALSE, sizeof(slice_t));
	jar->grain_us = 0;
}

void jh_quota_bucket_reset(jh_quota_bucket_t *jar, int64_t life_us)
{
	g_array_set_size(jar->slices, 0);
	jar->grain_us = life_us / SLICES_A_LIFE;
}

void jh_quota_bucket_clear(jh_quota_bucket_t *jar)
{
	g_clear_pointer(&jar->slices, g_array_unref);
}

void jh_quota_bucket_add(jh_quota_bucket_t *jar, int64_t amount, int64_t void_us)
{
	const slice_t slice = { .amount = amount, .void_us = void_us };
	unsigned i = jar->slices->len;

	if (amount <= 0)
		return;
	while (i > 0 && slice_at(jar, i - 1)->void_us > void_us)
		i--;
	/* The slice before is void earlier, so that a token's life is never made longer. */
	if (i > 0 && void_us - slice_at(jar, i - 1)->void_us < jar->grain_us)
		slice_at(jar, i - 1)->amount += amount;
	else
		g_array_insert_val(jar->slices, i, slice);
}

int64_t jh_quota_bucket_level(jh_quota_bucket_t *jar, int64_t now_us)
{
	int64_t level = 0;
	unsigned gone = 0;
	unsigned i;

	while (gone < jar->slices->len && slice_at(jar, gone)->void_us <= now_us)
		gone++;
	g_array_remove_range(jar->slices, 0, gone);
	for (i = 0; i < jar->slices->len; i++)
		level += slice_at(jar, i)->amount;
	return level;
}

int64_t jh_quota_bucket_take_some(jh_quota_bucket_t *jar, int64_t most, int64_t *life_us,
				  int64_t now_us)
{
	int64_t at_least = *life_us;
	int64_t taken = 0;
	unsigned i = 0;

	jh_quota_bucket_level(jar, now_us);
	while (i < jar->slices->len && taken < most) {
		slice_t *slice = slice_at(jar, i);
		int64_t life = slice->void_us - now_us;
		int64_t part = MIN(slice->amount, most - taken);

		if (life < at_least) {
			i++;
			continue;
		}
		if (taken == 0)
			*life_us = life;
		taken += part;
		slice->amount -= part;
		if (slice->amount == 0)
			g_array_remove_index(jar->slices, i);
	}
	return taken;
}

bool jh_quota_bucket_take(jh_quota_bucket_t *jar, int64_t amount, int64_t now_us)
{
	int64_t life_us = 0;

	if (jh_quota_bucket_level(jar, now_us) < amount)
		return false;
	jh_quota_bucket_take_some(jar, amount, &life_us, now_us);
	return true;
}

int64_t jh_quota_refill_amount(int64_t rate, uint32_t parts, int64_t time_us)
{
	/* A clock that runs fast must not mint more than the rate. */
	const int64_t slow = 1000000 - JH_QUOTA_DRIFT_PPM;

	return (int64_t)((__int128)rate * parts * time_us / JH_QUOTA_PARTS / 1000000 * slow /
			 1000000);
}

int64_t jh_quota_token_life_us(const jh_quota_limit_t *limit)
{
	int64_t life =
		limit->rate > 0 ? (int64_t)((__int128)limit->burst * 1000000 / limit->rate) : 0;

	/* The holder's clock may run slow. */
	life -= life * 2 * JH_QUOTA_DRIFT_PPM / 1000000 + 1;
	return MAX(life, 0);
}

/* ---- minting ---- */

void jh_quota_refill_set(jh_quota_refill_t *mint, const jh_quota_limit_t *limit, uint32_t parts,
			 int64_t now_us)
{
	*mint = (jh_quota_refill_t){
		.rate = limit->rate,
		.parts = parts,
		.life_us = jh_quota_token_life_us(limit),
		.base_us = now_us,
		.last_us = now_us,
	};
}

/* A long time is minted in steps, so that only its older tokens are void. */
void jh_quota_refill_run(jh_quota_refill_t *mint, jh_quota_bucket_t *jar, int64_t now_us)
{
	int64_t step_us = MAX(jar->grain_us, 1);

	if (now_us - mint->last_us > mint->life_us) {
		mint->last_us = now_us - mint->life_us;
		mint->given = jh_quota_refill_amount(mint->rate, mint->parts,
						     mint->last_us - mint->base_us);
	}
	while (mint->last_us < now_us) {
		int64_t until_us = MIN(mint->last_us + step_us, now_us);
		int64_t total =
			jh_quota_refill_amount(mint->rate, mint->parts, until_us - mint->base_us);

		jh_quota_bucket_add(jar, total - mint->given, mint->last_us + mint->life_us);
		mint->given = total;
		mint->last_us = until_us;
	}
}
