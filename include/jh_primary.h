#ifndef JH_PRIMARY_H
#define JH_PRIMARY_H

#include "jh_catalogue.h"
#include "jh_kernel.h"

/**
 * DOC: The primary of a group
 *
 * The row "group/NAME" of the fleet's table names the group's primary. The row's version is the
 * epoch, which grows with every write of the row. While a change of primary is in progress, the row
 * says so, and a VM that has received it does not use the old primary.
 */

/**
 * struct jh_primary - the row of a group
 * @group: name of the group; interned
 * @epoch: version of the row; 0 if there is no row
 * @term: term of @member as primary, from the replicated log
 * @member: id of the primary, or of the primary being replaced; interned
 * @is_changing: a change of primary is in progress, so @member must not be used
 * @target: id of the member being promoted; NULL if none is chosen; interned
 * @is_revocable: the change may be cancelled, or @member promoted again, once @member may stay the
 *                primary; false without @is_changing and with @target
 * @begun_era: the store's era in which the change began; read with @is_revocable only
 * @is_kept: the store was restored and does not have this row yet, so that other VMs may know
 *@epoch without it
 * @is_unproven: with @is_changing: the change began because the row comes from a restored store and
 *		 @member did not confirm it: another member may have been the primary since
 */
typedef struct jh_primary {
	const char *group;
	uint64_t epoch;
	uint64_t term;
	const char *member;
	bool is_changing;
	const char *target;
	bool is_revocable;
	uint64_t begun_era;
	bool is_kept;
	bool is_unproven;
} jh_primary_t;

/**
 * jh_primary_parse() - parse the body of a group's row
 * @primary: receives the result; unchanged on error
 * @version: version of the row
 * @body: text of the row, borrowed
 *
 * Return: 0, or -1 with the error JH_ERR_INVALID if @body names no primary
 */
int jh_primary_parse(jh_primary_t *primary, const char *group, uint64_t version, GBytes *body,
		     jh_error_t *err);

/** jh_primary_format() - format the body of a group's row. Return: new text; free with g_free() */
char *jh_primary_format(const jh_primary_t *primary);

/** JH_PRIMARY_ROW_PREFIX - names of groups' rows in the fleet's table begin with it */
#define JH_PRIMARY_ROW_PREFIX "group/"

/** jh_primary_row_name() - name of a group's row. Return: new text; free with g_free() */
char *jh_primary_row_name(const char *group);

/** struct jh_fleet_config_msg - body of JH_MSG_FLEET_CONFIG; owns a reference to @config */
typedef struct jh_fleet_config_msg {
	jh_fleet_config_t *config;
} jh_fleet_config_msg_t;

/**
 * struct jh_member_msg - body of JH_MSG_MEMBER
 * @id: id of the member; interned
 * @member: its registration, owned by the message; NULL if the member is no longer registered
 */
typedef struct jh_member_msg {
	const char *id;
	jh_member_t *member;
} jh_member_msg_t;

/**
 * struct jh_dc_drain_msg - body of JH_MSG_DC_DRAIN; see jh_dc_drain.h
 * @dc: the data centre; interned
 * @is_drained: its drain is requested; false once the request has been withdrawn
 * @requested_after_us: a time of jh_boot_time_us() before the request; INT64_MIN if this VM does
 *	not know one
 */
typedef struct jh_dc_drain_msg {
	const char *dc;
	bool is_drained;
	int64_t requested_after_us;
} jh_dc_drain_msg_t;

/** struct jh_primary_msg - body of JH_MSG_PRIMARY: the newest row of a group */
typedef struct jh_primary_msg {
	jh_primary_t primary;
} jh_primary_msg_t;

/**
 * struct jh_primary_report_msg - body of JH_MSG_PRIMARY_REPORT: this VM's gateway reports that the
 * primary @member of @group does not respond or denies that it is the primary; both are interned
 */
typedef struct jh_primary_report_msg {
	const char *group;
	const char *member;
} jh_primary_report_msg_t;

/**
 * struct jh_acknowledged_msg - body of JH_MSG_ACKNOWLEDGED, published for groups with synchronous
 *	replicas
 * @group: interned
 * @position: a commit at this position of the group's log or beyond it was acknowledged to a caller
 */
typedef struct jh_acknowledged_msg {
	const char *group;
	jh_position_t position;
} jh_acknowledged_msg_t;

#endif
