#ifndef JH_FRESHNESS_H
#define JH_FRESHNESS_H

#include "jh_view.h"

/**
 * DOC: Freshness of reads
 *
 * Samples of where the log of a group's primary ended, over the last few seconds. A read that must
 * see every commit acknowledged before some moment may go to any member that has applied a position
 * which the primary reported to a statement sent after that moment; the oldest such position is the
 * one that most replicas have applied. The functions keep no clock: times are microseconds of the
 * caller's boot-time clock.
 */
typedef struct jh_freshness jh_freshness_t;

/** jh_freshness_new() - Return: new, without samples; free with jh_freshness_free() */
jh_freshness_t *jh_freshness_new(void);
void jh_freshness_free(jh_freshness_t *freshness);

/**
 * jh_freshness_add_sample() - add a sample
 * @sent_us: when the statement was sent to the primary
 * @position: end of the log that the primary reported to it
 *
 * A sample that is not newer than the newest one is ignored.
 */
void jh_freshness_add_sample(jh_freshness_t *freshness, int64_t sent_us, jh_position_t position);

/**
 * jh_freshness_find_position() - lowest known position that includes all commits acknowledged by
 * @moment_us
 * @position: set if the function returns true
 *
 * Return: false if no statement sent at @moment_us or later has reported a position
 */
bool jh_freshness_find_position(const jh_freshness_t *freshness, int64_t moment_us,
				jh_position_t *position);

/** jh_freshness_find_newest() - newest sample's position. Return: false if there is no sample */
bool jh_freshness_find_newest(const jh_freshness_t *freshness, jh_position_t *position);

/** jh_freshness_newest_us() - Return: time of the newest sample, INT64_MIN if there is none */
int64_t jh_freshness_newest_us(const jh_freshness_t *freshness);

/** jh_freshness_clear() - drop all samples; the log of a new primary may lack their positions */
void jh_freshness_clear(jh_freshness_t *freshness);

#endif
