#ifndef JH_REPLICAS_ROW_H
#define JH_REPLICAS_ROW_H

#include "jh_catalogue.h"

/**
 * DOC: The row of a group's replicas
 *
 * The row "replicas/NAME" of the fleet's table lists the instances of members that acknowledged
 * commits of a group with synchronous replicas may rest on. The store removes the registration of a
 * member that is silent; its commits are not lost with it, so that the row keeps the member until a
 * leader knows that it does not matter any more. Every VM may add members to the row, only the
 * leader removes them.
 */

/** JH_REPLICAS_ROW_PREFIX - names of these rows in the fleet's table begin with it */
#define JH_REPLICAS_ROW_PREFIX "replicas/"

/** jh_replicas_row_name() - name of a group's row. Return: new text; free with g_free() */
char *jh_replicas_row_name(const char *group);

/**
 * jh_replica_key() - name an instance of a member in its group: an id that is started again names
 *	another instance
 *
 * Return: new text; free with g_free()
 */
char *jh_replica_key(const jh_member_t *member);

/** jh_replicas_new() - Return: new empty set, from jh_replica_key() to an owned jh_member_t */
GHashTable *jh_replicas_new(void);

/** jh_replicas_add() - add a copy of @member, or replace the one of the same instance */
void jh_replicas_add(GHashTable *replicas, const jh_member_t *member);

/** jh_replicas_include() - Return: whether every instance of @others is in @replicas, too */
bool jh_replicas_include(const GHashTable *replicas, const GHashTable *others);

/**
 * jh_replicas_parse() - parse the body of the row
 * @group: name of the group
 * @body: borrowed; NULL if the row is missing
 *
 * Return: new set; NULL with the error JH_ERR_INVALID if the row is missing or malformed
 */
GHashTable *jh_replicas_parse(const char *group, GBytes *body, jh_error_t *err);

/** jh_replicas_format() - format the body of the row. Return: new text; free with g_free() */
char *jh_replicas_format(const GHashTable *replicas);

#endif
