#ifndef JH_FRESHNESS_H
#define JH_FRESHNESS_H

#include "jh_view.h"

/**
 * DOC: Freshness of reads
 *
 * Where a group's log ended at the primary, at moments of the recent past. A read that must see
 * every commit acknowledged before a moment needs any position that the primary reported to a
 * statement sent after it; the oldest such position is the easiest for a replica to have. Pure:
 * times are microseconds of the caller's boot-time clock.
 */
typedef struct jh_freshness jh_freshness_t;

jh_freshness_t *jh_freshness_new(void);
void jh_freshness_free(jh_freshness_t *freshness);

/** jh_freshness_add() - the primary reported @position to a statement sent at @sent_us */
void jh_freshness_add(jh_freshness_t *freshness, int64_t sent_us, jh_position_t position);

/**
 * jh_freshness_need() - least known position that covers all commits acknowledged at @moment_us
 *
 * Return: true with *@position set, false if no sample is that new
 */
bool jh_freshness_need(const jh_freshness_t *freshness, int64_t moment_us, jh_position_t *position);

/** jh_freshness_newest() - Return: true with the newest sample's position */
bool jh_freshness_newest(const jh_freshness_t *freshness, jh_position_t *position);

/** jh_freshness_clear() - forget all: another primary leads, whose log may lack them */
void jh_freshness_clear(jh_freshness_t *freshness);

#endif
