#ifndef JH_POSITION_ASK_H
#define JH_POSITION_ASK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Samples of the log position from other VMs
 *
 * A VM that runs a group's reads on replicas sends few statements to the primary, and so lacks the
 * log position that a bounded read needs (see jh_freshness.h). It asks a VM that has newer samples.
 * The reply names the age of its sample. The sample counts as taken at the time of the ask less
 * this age: the reply was made after the ask, so that the sample is in fact no older, and no clock
 * of another VM is compared.
 *
 * A jh_position_asker_t decides for one group when to ask, and which replies count. The functions
 * keep no clock and send nothing; all times are microseconds of this VM's boot-time clock.
 */
typedef struct jh_position_asker jh_position_asker_t;

/** JH_POSITION_REPLY_US - an ask without a reply for this long is followed by one to another VM */
#define JH_POSITION_REPLY_US (100 * INT64_C(1000))

/** jh_position_asker_new() - Return: new, without reads; free with jh_position_asker_free() */
jh_position_asker_t *jh_position_asker_new(void);
void jh_position_asker_free(jh_position_asker_t *asker);

/**
 * jh_position_asker_on_read() - a read is to run that may be served by a replica
 * @max_age_us: age that it accepts
 */
void jh_position_asker_on_read(jh_position_asker_t *asker, int64_t max_age_us, int64_t now_us);

/**
 * jh_position_asker_is_due() - whether an ask is to be sent now
 * @newest_us: time of the newest sample, INT64_MIN if there is none
 *
 * Asks are sent only while there are reads, one at a time, and when the newest sample is older than
 * a third of the smallest age that recent reads accept. An ask that has no reply in time counts as
 * failed here, so call this before jh_position_asker_attempt().
 */
bool jh_position_asker_is_due(jh_position_asker_t *asker, int64_t newest_us, int64_t now_us);

/** jh_position_asker_attempt() - Return: number that changes when another VM is to be asked */
unsigned jh_position_asker_attempt(const jh_position_asker_t *asker);

/**
 * jh_position_asker_on_sent() - an ask was sent
 * @vm: the VM that was asked; interned
 * @now_us: the ask's stamp
 */
void jh_position_asker_on_sent(jh_position_asker_t *asker, const char *vm, int64_t now_us);

/**
 * jh_position_asker_on_reply() - a reply arrived
 * @vm: its sender; interned
 * @stamp_us: stamp of the ask that it names
 * @age_us: age of the sample in it; negative if it has none that counts
 * @sampled_us: set to the time at which the sample counts as taken if the function returns true
 *
 * Late replies count as long as their ask is one of the last few; each ask has one reply.
 *
 * Return: true if the sample counts
 */
bool jh_position_asker_on_reply(jh_position_asker_t *asker, const char *vm, int64_t stamp_us,
				int64_t age_us, int64_t *sampled_us);

/**
 * jh_position_asker_expects_reply() - whether it is worth waiting for a sample
 *
 * Return: false if none was asked for, or if no VM has replied to the last few asks
 */
bool jh_position_asker_expects_reply(const jh_position_asker_t *asker);

#endif
