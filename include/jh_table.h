#ifndef JH_TABLE_H
#define JH_TABLE_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Handle tables
 *
 * A table that gives each object a small handle, which other code keeps instead of a pointer. A
 * handle contains the generation of its slot, so that a handle of a removed object finds nothing,
 * even after the slot has been reused. Objects belong to the caller: the table never frees one.
 */

/** typedef jh_handle_t - slot index (low 32 bits) and generation (high 32 bits); 0 is no handle */
typedef uint64_t jh_handle_t;

/** JH_HANDLE_NONE - the handle that no object has */
#define JH_HANDLE_NONE ((jh_handle_t)0)

typedef struct jh_table jh_table_t;

/** jh_table_new() - create an empty table. Return: new table, for jh_table_free() */
jh_table_t *jh_table_new(void);

/**
 * jh_table_new_from() - create an empty table whose handles differ from those of another table
 * @generation: generation before that of each slot's first object
 *
 * Return: new table, for jh_table_free()
 */
jh_table_t *jh_table_new_from(uint32_t generation);

/** jh_table_free() - free the table but not its objects; @table may be NULL */
void jh_table_free(jh_table_t *table);

/** jh_table_add() - add @object, which must not be NULL. Return: its handle */
jh_handle_t jh_table_add(jh_table_t *table, void *object);

/** jh_table_get() - find an object. Return: the object, NULL if @handle is none or was removed */
void *jh_table_get(const jh_table_t *table, jh_handle_t handle);

/** jh_table_remove() - remove an object. Return: the object, NULL as for jh_table_get() */
void *jh_table_remove(jh_table_t *table, jh_handle_t handle);

/** jh_table_count() - get the number of objects in the table */
unsigned jh_table_count(const jh_table_t *table);

/**
 * jh_table_next() - iterate over the objects, in no particular order
 * @table: objects may be removed during the iteration; added ones may or may not be visited
 * @cursor: points to 0 before the first call; updated
 *
 * Return: the next object, NULL at the end
 */
void *jh_table_next(const jh_table_t *table, unsigned *cursor);

#endif
