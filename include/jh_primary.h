#ifndef JH_PRIMARY_H
#define JH_PRIMARY_H

#include "jh_catalogue.h"
#include "jh_kernel.h"

/**
 * DOC: Who leads a group
 *
 * The row "group/NAME" of the fleet's table is the authority on a group's primary. Its version,
 * the epoch, grows with every change. While a change is under way nobody uses the old primary.
 */

/**
 * struct jh_primary - the row of a group
 * @group: interned
 * @epoch: version of the row; 0 if there is none
 * @term: of @member as primary
 * @member: id of the primary, or of the one being replaced; interned
 * @is_changing: a change is under way: @member must not be used
 * @target: member being promoted, NULL if not chosen; interned
 */
typedef struct jh_primary {
	const char *group;
	uint64_t epoch;
	uint64_t term;
	const char *member;
	bool is_changing;
	const char *target;
} jh_primary_t;

/** jh_primary_parse() - read a row's body. Return: 0, or -1 with the error set */
int jh_primary_parse(jh_primary_t *primary, const char *group, uint64_t version, GBytes *body,
		     jh_error_t *err);

/** jh_primary_format() - Return: new text of the row's body */
char *jh_primary_format(const jh_primary_t *primary);

/** jh_primary_row() - Return: new name of a group's row */
char *jh_primary_row(const char *group);

/** struct jh_fleet_config_msg - body of JH_MSG_FLEET_CONFIG; holds one reference */
typedef struct jh_fleet_config_msg {
	jh_fleet_config_t *site;
} jh_fleet_config_msg_t;

/** struct jh_member_msg - body of JH_MSG_MEMBER; @member NULL: it is gone */
typedef struct jh_member_msg {
	const char *id;
	jh_member_t *member;
} jh_member_msg_t;

/** struct jh_primary_msg - body of JH_MSG_PRIMARY */
typedef struct jh_primary_msg {
	jh_primary_t primary;
} jh_primary_msg_t;

/** struct jh_primary_report_msg - body of JH_MSG_PRIMARY_REPORT, of this VM's gateway */
typedef struct jh_primary_report_msg {
	const char *group;
	const char *member;
} jh_primary_report_msg_t;

#endif
