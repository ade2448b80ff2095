#ifndef JH_VOTERS_H
#define JH_VOTERS_H

#include "jh_error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The voters
 *
 * The voters are the VMs whose majority, the quorum, renews a mirror lease and acknowledges a
 * change of primary. The row "voters" of the fleet's table lists them. A VM that registers itself
 * is listed and serves callers at once, but it votes only after the leader has written it to that
 * row.
 *
 * The leader replaces the set by joint consensus: it first writes the new set together with the
 * previous one, and from then on a quorum is a majority of each. It writes the new set alone once a
 * quorum has acknowledged that row. Every quorum that counts therefore shares a VM with each quorum
 * that may still count for a VM that lacks some of the rows, however many VMs come and go at once.
 *
 * A quorum that does not reach the store renews leases for a limited time only, so that the others
 * can go on without it: JH_QUORUM_WITHOUT_STORE_US, or JH_BROAD_QUORUM_WITHOUT_STORE_US if nearly
 * all voters acknowledge, as they do while the store is away. See jh_change_is_settled().
 */

/** JH_VOTERS_ROW - name of that row */
#define JH_VOTERS_ROW "voters"

/** JH_VOTERS_MAX - largest number of voters; in a larger fleet only some VMs vote */
#define JH_VOTERS_MAX 14u

/**
 * struct jh_voters - the row "voters"
 * @generation: grows by one with each write of the row; 0 if there is no such row
 * @current: names of the voters; interned
 * @previous: names of the voters that are being replaced; interned; NULL if none are
 */
typedef struct jh_voters {
	uint64_t generation;
	GPtrArray *current;
	GPtrArray *previous;
} jh_voters_t;

/** jh_voters_new() - Return: new voters of generation 0; free with jh_voters_free() */
jh_voters_t *jh_voters_new(void);
void jh_voters_free(jh_voters_t *voters);

/** jh_voters_include() - Return: whether a VM votes, or is being replaced and still does */
bool jh_voters_include(const jh_voters_t *voters, const char *vm);

/** jh_voters_all() - Return: new array of the names in both sets, each once; borrowed */
GPtrArray *jh_voters_all(const jh_voters_t *voters);

/** typedef jh_voter_test_fn_t - Return: whether the VM counts, for example as it has acknowledged
 */
typedef bool (*jh_voter_test_fn_t)(const void *data, const char *vm);

/**
 * jh_voters_have_quorum() - Return: whether the VMs for which @test returns true are a quorum;
 *false without voters
 */
bool jh_voters_have_quorum(const jh_voters_t *voters, jh_voter_test_fn_t test, const void *data);

/**
 * jh_voters_have_blocking_set() - Return: whether the VMs for which @test returns true include one
 *of each broad quorum; false without voters
 */
bool jh_voters_have_blocking_set(const jh_voters_t *voters, jh_voter_test_fn_t test,
				 const void *data);

/** jh_quorum_size() - Return: size of a majority of @count VMs; any two majorities intersect */
unsigned jh_quorum_size(unsigned count);

/**
 * jh_broad_quorum_size() - Return: size of a broad quorum of @count VMs, all but a few
 *
 * With five to eight voters it lacks one, so that the loss of a VM during an outage of the store
 * costs no service.
 */
unsigned jh_broad_quorum_size(unsigned count);

/**
 * jh_voters_choose() - choose the voters by rendezvous hashing
 * @names: all listed VMs; on return the voters only, the other names are freed by the array
 */
void jh_voters_choose(GPtrArray *names);

/**
 * struct jh_voter_candidate - a listed VM as the leader sees it
 * @name: interned
 * @is_live: it responds
 * @is_departing: it shuts down, but still responds
 * @is_lost: it has been dead for so long that it is not to vote any more
 */
typedef struct jh_voter_candidate {
	const char *name;
	bool is_live;
	bool is_departing;
	bool is_lost;
} jh_voter_candidate_t;

/**
 * jh_voters_plan() - decide what the leader writes to the row next
 * @vms: every listed VM
 * @count: number of @vms
 * @is_acknowledged: a quorum has acknowledged the row, or jh_change_is_settled() says that no VM
 *	without it holds a lease
 *
 * A voter stays until it is lost or no longer listed. One that departs is dropped in advance if
 * the others would be no majority without it. Live VMs that stay are added up to JH_VOTERS_MAX. A
 * change that another leader began is taken back if no majority of the new set responds, but one of
 * the previous set does: a quorum needed a majority of that one all the time.
 *
 * Return: new voters of the next generation, NULL if the row stays as it is
 */
jh_voters_t *jh_voters_plan(const jh_voters_t *voters, const jh_voter_candidate_t *vms,
			    unsigned count, bool is_acknowledged);

/**
 * jh_voters_parse() - parse the body of the row
 * @body: borrowed; NULL if the row is missing
 *
 * Return: new voters, of generation 0 if the row is missing; NULL with the error JH_ERR_INVALID if
 *	it is malformed
 */
jh_voters_t *jh_voters_parse(GBytes *body, jh_error_t *err);

/** jh_voters_format() - format the body of the row. Return: new text; free with g_free() */
char *jh_voters_format(const jh_voters_t *voters);

#endif
