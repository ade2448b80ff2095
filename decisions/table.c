#include "jh_table.h"

/**
 * struct slot - place for one object
 * @object: NULL while the slot is free
 * @generation: number of objects that the slot has had, modulo 2^32
 */
typedef struct slot {
	void *object;
	uint32_t generation;
} slot_t;

/**
 * struct jh_table - slots and the indices of the free ones
 * @slots: array of slot_t
 * @free_slots: indices (uint32_t) of the free slots; the last one is reused first
 * @count: number of objects
 * @first_generation: generation of a new slot before its first object
 */
struct jh_table {
	GArray *slots;
	GArray *free_slots;
	unsigned count;
	uint32_t first_generation;
};

static uint32_t handle_index(jh_handle_t handle)
{
	return (uint32_t)handle;
}

static uint32_t handle_generation(jh_handle_t handle)
{
	return (uint32_t)(handle >> 32);
}

jh_table_t *jh_table_new(void)
{
	jh_table_t *table = g_new0(jh_table_t, 1);

	table->slots = g_array_new(FALSE, TRUE, sizeof(slot_t));
	table->free_slots = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return table;
}

jh_table_t *jh_table_new_from(uint32_t generation)
{
	jh_table_t *table = jh_table_new();

	table->first_generation = generation;
	return table;
}

void jh_table_free(jh_table_t *table)
{
	if (!table)
		return;
	g_array_free(table->slots, TRUE);
	g_array_free(table->free_slots, TRUE);
	g_free(table);
}

jh_handle_t jh_table_add(jh_table_t *table, void *object)
{
	uint32_t index;
	slot_t *slot;

	g_assert(object);
	if (table->free_slots->len > 0) {
		index = g_array_index(table->free_slots, uint32_t, table->free_slots->len - 1);
		g_array_set_size(table->free_slots, table->free_slots->len - 1);
	} else {
		index = table->slots->len;
		g_array_set_size(table->slots, index + 1);
		g_array_index(table->slots, slot_t, index).generation = table->first_generation;
	}
	slot = &g_array_index(table->slots, slot_t, index);
	slot->object = object;
	slot->generation++;
	table->count++;
	return (jh_handle_t)slot->generation << 32 | index;
}

/* Return: the slot of the handle's object, NULL if the object was removed or never existed */
static slot_t *find_slot(const jh_table_t *table, jh_handle_t handle)
{
	slot_t *slot;

	if (handle_index(handle) >= table->slots->len)
		return NULL;
	slot = &g_array_index(table->slots, slot_t, handle_index(handle));
	if (!slot->object || slot->generation != handle_generation(handle))
		return NULL;
	return slot;
}

void *jh_table_get(const jh_table_t *table, jh_handle_t handle)
{
	const slot_t *slot = find_slot(table, handle);

	return slot ? slot->object : NULL;
}

void *jh_table_remove(jh_table_t *table, jh_handle_t handle)
{
	slot_t *slot = find_slot(table, handle);
	uint32_t index = handle_index(handle);
	void *object;

	if (!slot)
		return NULL;
	object = slot->object;
	slot->object = NULL;
	table->count--;
	g_array_append_val(table->free_slots, index);
	return object;
}

unsigned jh_table_count(const jh_table_t *table)
{
	return table->count;
}

void *jh_table_next(const jh_table_t *table, unsigned *cursor)
{
	while (*cursor < table->slots->len) {
		const slot_t *slot = &g_array_index(table->slots, slot_t, (*cursor)++);

		if (slot->object)
			return slot->object;
	}
	return NULL;
}
