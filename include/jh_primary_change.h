#ifndef JH_PRIMARY_CHANGE_H
#define JH_PRIMARY_CHANGE_H

#include "jh_view.h"

/**
 * DOC: Decisions of a change of primary
 *
 * Whether a primary must be replaced, when nobody can still use the old one, and who follows.
 * Pure: times are microseconds of the caller's boot-time clock.
 */

/**
 * struct jh_primary_health - what is known of a primary
 * @vms: live VMs
 * @silent_vms: of these, how many have lately found that it does not answer
 * @leader_probe_failed: the lead's own question got no answer
 * @denies_primary: it answered the lead that it does not lead
 * @is_draining: it is about to leave
 * @gone_us: how long its entry has been missing, 0 if it is there
 * @has_successor: another member could take over
 */
typedef struct jh_primary_health {
	unsigned vms;
	unsigned silent_vms;
	bool leader_probe_failed;
	bool denies_primary;
	bool is_draining;
	int64_t gone_us;
	bool has_successor;
} jh_primary_health_t;

/** jh_primary_must_change() - Return: reason for logs, NULL if the primary stays */
const char *jh_primary_must_change(const jh_primary_health_t *health);

/**
 * struct jh_change_acks - who knows of a change
 * @vms: listed VMs
 * @knowing: of these, how many know of the change, the asking one included
 * @council: VMs whose majority confirms authority
 * @voters_acked: of these, how many know
 * @majority_us: how long it has been known that a majority of the council knows
 */
typedef struct jh_change_acks {
	unsigned vms;
	unsigned knowing;
	unsigned council;
	unsigned voters_acked;
	int64_t majority_us;
} jh_change_acks_t;

/**
 * jh_primary_is_fenced() - nobody uses the old primary any more
 *
 * All know; or a majority of the council do, so that no VM can renew its authority in ignorance,
 * and what the others have of it has run out since. Counting from the store's answer would not do:
 * behind a cut the others go on confirming one another until a majority knows.
 */
bool jh_primary_is_fenced(const jh_change_acks_t *fence);

/**
 * struct jh_successor - a member that may be promoted
 * @answered: it said where its log ends
 * @is_leaving: it is draining or its entry is missing
 * @received: end of its log
 */
typedef struct jh_successor {
	bool answered;
	bool is_leaving;
	jh_position_t received;
} jh_successor_t;

/**
 * jh_successor_choose() - the member with the longest log
 * @sync_replicas: replicas that hold every acknowledged commit
 *
 * With synchronous replicas, so many must answer that one of them holds the newest commit.
 *
 * Return: index, or -1 if none can be promoted yet
 */
int jh_successor_choose(const jh_successor_t *members, unsigned count, unsigned sync_replicas);

#endif
