#include "jh_counter.h"

/* Registered counters and gauges, sorted by name. */
static jh_counter_t *counters;

static void counter_register(jh_counter_t *counter)
{
	jh_counter_t **link = &counters;

	if (counter->registered)
		return;
	while (*link && g_strcmp0((*link)->name, counter->name) < 0)
		link = &(*link)->next;
	counter->next = *link;
	*link = counter;
	counter->registered = 1;
}

void jh_counter_add(jh_counter_t *counter, int64_t amount)
{
	counter_register(counter);
	counter->value += amount;
}

void jh_counter_set(jh_counter_t *counter, int64_t value)
{
	counter_register(counter);
	counter->value = value;
}

void jh_counter_foreach(jh_counter_fn_t visit, void *data)
{
	const jh_counter_t *counter;

	for (counter = counters; counter; counter = counter->next)
		visit(counter, data);
}
