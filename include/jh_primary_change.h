#ifndef JH_PRIMARY_CHANGE_H
#define JH_PRIMARY_CHANGE_H

#include "jh_view.h"

/**
 * JH_REGISTRATION_GRACE_US - a member whose registration disappeared may still be running for this
 *	long: after an outage of the store, registrations that expired are renewed within two
 *	seconds; microseconds
 */
#define JH_REGISTRATION_GRACE_US (2500 * INT64_C(1000))

/**
 * DOC: Decisions of a change of primary
 *
 * Decides whether a group's primary must be replaced, whether the old primary is fenced, and which
 * member is promoted. The functions are pure: they read only their arguments, keep nothing, and may
 * be called at any time. Durations are in microseconds of the boot-time clock.
 */

/**
 * struct jh_primary_health - what the leader knows about a group's primary
 * @live_vms: VMs that are not dead, the leader included
 * @unreachable_vms: VMs other than the leader that reported within JH_LEADER_REPORT_US that the
 *                   primary does not respond
 * @leader_probe_failed: the primary did not respond to the leader's own last probe
 * @leader_reaches: the primary responded as the primary to a probe of the leader in the last second
 * @denies_primary: the primary responded to the leader's last probe as a replica
 * @is_draining: the primary's registration says that it is about to leave
 * @is_drain_over: its drain time is nearly over, so that no VM will send it work much longer
 * @can_not_fence: too few voters respond for a change to be fenced soon
 * @is_dc_drained: nothing more is to be sent to members of the primary's data centre
 * @missing_us: how long the primary's registration has been missing, 0 if it is listed
 * @has_successor: the group has another registered member that is not draining, in a data centre
 *                 that is not drained
 */
typedef struct jh_primary_health {
	unsigned live_vms;
	unsigned unreachable_vms;
	bool leader_probe_failed;
	bool leader_reaches;
	bool denies_primary;
	bool is_draining;
	bool is_drain_over;
	bool can_not_fence;
	bool is_dc_drained;
	int64_t missing_us;
	bool has_successor;
} jh_primary_health_t;

/**
 * jh_primary_must_change() - decide whether the primary must be replaced
 *
 * A primary that only drains stays while too few voters respond: it would be out of use for as long
 * as the change can't be fenced.
 *
 * Return: static text of the reason, for logs; NULL if the primary stays
 */
const char *jh_primary_must_change(const jh_primary_health_t *health);

/**
 * JH_REVOKE_AGAIN_US - a change that begins sooner than this after a cancelled one is not revocable
 *
 * A primary that responds only at times would otherwise be kept by one cancelled change after the
 * other; microseconds.
 */
#define JH_REVOKE_AGAIN_US (10 * INT64_C(1000000))

/**
 * jh_change_is_revocable() - whether the change may be cancelled later
 *
 * False if VMs other than the leader do not reach the primary while the leader does: during a
 * change they do not try, so that the leader cannot tell when they reach it again. False, too, if
 * the primary said that it is none: it may have started again without its log.
 */
bool jh_change_is_revocable(const jh_primary_health_t *health);

/**
 * struct jh_revocation - what the leader knows about a change that it might cancel
 * @is_revocable: the group's row says that the change may be cancelled
 * @has_target: the row names a target
 * @begun_era: the store's era in which the change began
 * @row_era: the store's era in the version of the row
 * @row_term: term of the old primary according to the row
 * @replied_as_primary: the old primary's newest reply said that it is the primary
 * @replied_term: term of that reply
 */
typedef struct jh_revocation {
	bool is_revocable;
	bool has_target;
	uint64_t begun_era;
	uint64_t row_era;
	uint64_t row_term;
	bool replied_as_primary;
	uint64_t replied_term;
} jh_revocation_t;

/**
 * jh_change_is_open() - whether no member can have been promoted in the change
 *
 * A promotion is sent only after its target has been written to the row, and no later write of the
 * change removes a target. A row that a restored store gave out in a new era may lack a target that
 * was written after the copy had been made; its version and its text then name different eras.
 */
bool jh_change_is_open(const jh_revocation_t *revocation);

/**
 * jh_change_may_cancel() - whether the old primary may become the primary again, in the same term
 * @health: what the leader knows about the old primary; @has_successor is ignored
 *
 * The write that cancels the change must be conditional on the row's version, so that it fails if
 * another leader has written a target meanwhile.
 */
bool jh_change_may_cancel(const jh_revocation_t *revocation, const jh_primary_health_t *health);

/**
 * struct jh_change_acks - which VMs have acknowledged a version of the fleet's table
 * @vms: VMs that are listed or vote
 * @acked: number of @vms that have acknowledged the version, the leader included
 * @has_quorum: a quorum of the voters has acknowledged it, see jh_voters_have_quorum()
 * @quorum_held_us: how long the leader has known that, 0 if no quorum has
 * @blocking_held_us: how long it has known that a blocking set has, see
 *	jh_voters_have_blocking_set(); 0 if none has
 * @stored_us: how long the leader has known that the store has the version
 * @has_unsettled_removal: a VM was removed from the list and may still hold a lease
 */
typedef struct jh_change_acks {
	unsigned vms;
	unsigned acked;
	bool has_quorum;
	int64_t quorum_held_us;
	int64_t blocking_held_us;
	int64_t stored_us;
	bool has_unsettled_removal;
} jh_change_acks_t;

/**
 * jh_change_is_settled() - whether every VM that lacks the version is without a mirror lease
 *
 * True once a quorum of the voters has acknowledged it for the length of a mirror lease and its
 * margin: from then on, no VM that lacks the version can renew its lease, and older leases have
 * expired since. The time counts from the quorum, not from the store's reply to the write, because
 * VMs behind a network partition can renew each other's leases until a quorum has acknowledged.
 *
 * Without such a quorum it is true once the store has had the version for
 * JH_QUORUM_WITHOUT_STORE_US and the margin, and a blocking set has acknowledged it for the length
 * of a lease and its margin: no quorum that lacks the version has read the store since, and no
 * broad quorum lacks it. Without a blocking set, it is true after JH_BROAD_QUORUM_WITHOUT_STORE_US
 * and the margin.
 */
bool jh_change_is_settled(const jh_change_acks_t *acks);

/**
 * jh_primary_is_fenced() - whether no VM uses the old primary any more
 *
 * True once all VMs that are listed or vote have acknowledged the change, and once it is settled.
 */
bool jh_primary_is_fenced(const jh_change_acks_t *acks);

/**
 * struct jh_successor - a replica of the group, which may be promoted
 * @replied: it replied to the poll, so @received is known
 * @is_leaving: it is draining; it is chosen only if no other member has all acknowledged commits
 * @is_excluded: its data centre is drained or its registration is missing; its reply counts, but it
 * is never chosen
 * @received: its received position, the end of its log
 */
typedef struct jh_successor {
	bool replied;
	bool is_leaving;
	bool is_excluded;
	jh_position_t received;
} jh_successor_t;

/**
 * struct jh_replica_set - what is known of a group whose primary is fenced
 * @members: every member that may have received a commit, without the old primary; borrowed
 * @count: number of @members
 * @has_primary: it is not known which member was the primary, so that @members has all of them
 * @sync_replicas: replicas that must have received a commit before it is acknowledged; 0 if
 *                 replication is asynchronous
 * @final: end of the old primary's log after it stopped accepting commits; term 0 if unknown
 * @acknowledged: a commit at this position or beyond it was acknowledged; term 0 if none is known
 */
typedef struct jh_replica_set {
	const jh_successor_t *members;
	unsigned count;
	bool has_primary;
	unsigned sync_replicas;
	jh_position_t final;
	jh_position_t acknowledged;
} jh_replica_set_t;

/**
 * jh_acknowledged_bound() - find a position that no acknowledged commit of the group is beyond
 *
 * An acknowledged commit is in the logs of the old primary and of @sync_replicas members, which are
 * one more of them if the old primary is among them. Of the
 * members without a reply, each may be one of these. Members that leave or must not be promoted
 * count like all others, since commits may rest on them. An empty log says that the member has
 * started anew, so that it counts as one without a reply.
 *
 * Return: false if the replies do not show such a position, so that no member may be promoted;
 * also false with asynchronous replication, where no position is safe
 */
bool jh_acknowledged_bound(const jh_replica_set_t *set, jh_position_t *bound);

/**
 * jh_successor_choose() - choose the member to promote
 *
 * With synchronous replicas, only members qualify that have received the log up to
 * jh_acknowledged_bound() and up to what is known to be acknowledged. Of those, one that stays goes
 * before one that is leaving, then the one with the highest received position. Of equal positions,
 * the first wins.
 *
 * Return: index into the set's members, or -1 if none can be promoted yet
 */
int jh_successor_choose(const jh_replica_set_t *set);

/**
 * struct jh_catch_up - the wait until a replica has the log of the old primary, which stepped down
 * @has_successor: jh_successor_choose() found a member
 * @is_behind: that member has not received the old primary's whole log
 * @is_leaving: that member is leaving, and others may still catch up with it
 * @waited_us: time since the old primary stepped down
 * @stalled_us: time since the highest received position of the members grew last
 * @old_replied: the old primary replied to the newest poll
 * @old_may_lead: nothing rules the old primary out: the change is open, see jh_change_is_open(),
 * the reason to replace it is gone, and it has the longest log of all that replied
 * @old_is_last_choice: the old primary stepped down and replied, and it may be promoted if no other
 * member can be: with synchronous replicas because it has all acknowledged commits, otherwise
 * because no reason to replace it is left
 */
typedef struct jh_catch_up {
	bool has_successor;
	bool is_behind;
	bool is_leaving;
	int64_t waited_us;
	int64_t stalled_us;
	bool old_replied;
	bool old_may_lead;
	bool old_is_last_choice;
} jh_catch_up_t;

/** enum jh_catch_up_step - what follows a poll of the members */
typedef enum jh_catch_up_step {
	/** @JH_CATCH_UP_WAIT: poll the members again */
	JH_CATCH_UP_WAIT,
	/** @JH_CATCH_UP_PROMOTE: promote the member that jh_successor_choose() found */
	JH_CATCH_UP_PROMOTE,
	/** @JH_CATCH_UP_PROMOTE_OLD: promote the old primary again, in a new term */
	JH_CATCH_UP_PROMOTE_OLD,
} jh_catch_up_step_t;

/**
 * jh_catch_up_decide() - decide whether to wait on for a replica to receive the whole log
 *
 * A replica that does not advance while the old primary replies may only be slow; it is given up
 * only if the old primary can lead again, so that no commit is rolled back, or after 1.5 s. An old
 * primary without any successor is promoted again after that time, if it may be.
 */
jh_catch_up_step_t jh_catch_up_decide(const jh_catch_up_t *catch_up);

#endif
