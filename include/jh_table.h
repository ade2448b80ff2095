#ifndef JH_TABLE_H
#define JH_TABLE_H

#include <glib.h>
#include <stdint.h>

/**
 * DOC: Handle tables
 *
 * Objects that outlive a function call are named by small handles instead of pointers. A handle
 * carries the slot's generation, so that one kept past its object's end finds nothing.
 */

/** typedef jh_handle_t - slot index (low 32 bits) and generation (high 32 bits); 0 is none */
typedef uint64_t jh_handle_t;

#define JH_HANDLE_NONE ((jh_handle_t)0)

typedef struct jh_table jh_table_t;

/** jh_table_new() - make an empty table. Return: new table */
jh_table_t *jh_table_new(void);

/** jh_table_free() - free the table; the objects stay their owner's */
void jh_table_free(jh_table_t *table);

/** jh_table_add() - store @object, which stays the caller's. Return: its handle */
jh_handle_t jh_table_add(jh_table_t *table, void *object);

/** jh_table_get() - look an object up. Return: borrowed object, NULL if it has ended */
void *jh_table_get(const jh_table_t *table, jh_handle_t handle);

/** jh_table_remove() - forget the object. Return: it, NULL if it had ended */
void *jh_table_remove(jh_table_t *table, jh_handle_t handle);

/** jh_table_count() - how many objects are stored */
unsigned jh_table_count(const jh_table_t *table);

/** jh_table_next() - iterate: start with *@cursor = 0. Return: borrowed object, NULL at the end */
void *jh_table_next(const jh_table_t *table, unsigned *cursor);

#endif
