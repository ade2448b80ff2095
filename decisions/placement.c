#include "jh_placement.h"

#include <math.h>
#include <string.h>
#include <sys/param.h>

/* Link that a VM with a whole core can make use of, Mbit/s. */
#define LINK_MBPS_PER_CORE 400

unsigned jh_vm_weight(double cpu_share, double link_mbps)
{
	double capacity = MIN(cpu_share, link_mbps / LINK_MBPS_PER_CORE);

	return (unsigned)CLAMP(capacity * JH_VM_WEIGHT_MAX, 1, JH_VM_WEIGHT_MAX);
}

/* Continues a 64-bit FNV-1a hash with the bytes of @text. */
static uint64_t fnv1a_add(uint64_t hash, const char *text)
{
	for (; *text; text++)
		hash = (hash ^ (unsigned char)*text) * 0x100000001b3u;
	return hash;
}

/*
 * Weight of a VM for a key: FNV-1a, then the final mix of MurmurHash3, so that names that differ in
 * one character get unrelated weights.
 */
static uint64_t rendezvous_hash(const char *key, const char *vm)
{
	uint64_t hash = fnv1a_add(0xcbf29ce484222325u, key);

	hash = fnv1a_add((hash ^ '/') * 0x100000001b3u, vm);
	hash ^= hash >> 33;
	hash *= 0xff51afd7ed558ccdu;
	hash ^= hash >> 33;
	hash *= 0xc4ceb9fe1a85ec53u;
	return hash ^ hash >> 33;
}

const jh_vm_t *jh_vm_find(const GPtrArray *vms, const char *name)
{
	unsigned i;

	for (i = 0; vms && i < vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(vms, i);

		if (g_strcmp0(vm->name, name) == 0)
			return vm;
	}
	return NULL;
}

const jh_vm_t *jh_placement_choose(const GPtrArray *vms, const char *key, const char *dc)
{
	const jh_vm_t *best = NULL;
	bool best_is_local = false;
	uint64_t best_hash = 0;
	unsigned i;

	for (i = 0; vms && i < vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(vms, i);
		bool is_local = dc && g_strcmp0(vm->dc, dc) == 0;
		uint64_t hash = rendezvous_hash(key, vm->name);

		if (vm->state != JH_VM_LIVE || (best_is_local && !is_local))
			continue;
		if (!best || (is_local && !best_is_local) || hash > best_hash) {
			best = vm;
			best_is_local = is_local;
			best_hash = hash;
		}
	}
	return best;
}

const jh_vm_t *jh_placement_backup(const GPtrArray *vms, const char *name)
{
	const jh_vm_t *self = jh_vm_find(vms, name);
	const jh_vm_t *best = NULL;
	bool best_is_remote = false;
	uint64_t best_hash = 0;
	/* The prefix is part of the hash, so all VMs of a fleet must use the same one. */
	char *key = g_strconcat("second:", name, NULL);
	unsigned i;

	for (i = 0; vms && i < vms->len; i++) {
		const jh_vm_t *vm = g_ptr_array_index(vms, i);
		bool is_remote = !self || g_strcmp0(vm->dc, self->dc) != 0;
		uint64_t hash = rendezvous_hash(key, vm->name);

		if (vm->state != JH_VM_LIVE || g_str_equal(vm->name, name) ||
		    (best_is_remote && !is_remote))
			continue;
		if (!best || (is_remote && !best_is_remote) || hash > best_hash) {
			best = vm;
			best_is_remote = is_remote;
			best_hash = hash;
		}
	}
	g_free(key);
	return best;
}

static gint names_compare_for_key(gconstpointer a, gconstpointer b, gpointer key)
{
	const char *left = *(char *const *)a;
	const char *right = *(char *const *)b;
	uint64_t left_hash = rendezvous_hash(key, left);
	uint64_t right_hash = rendezvous_hash(key, right);

	if (left_hash != right_hash)
		return left_hash < right_hash ? -1 : 1;
	return strcmp(left, right);
}

void jh_placement_pick(GPtrArray *names, const char *key, unsigned max)
{
	g_ptr_array_sort_with_data(names, names_compare_for_key, (gpointer)key);
	if (names->len > max)
		g_ptr_array_set_size(names, (gint)max);
}

double jh_placement_score(const char *key, const char *vm, unsigned weight)
{
	/* The upper 53 bits as a number between 0 and 1, both excluded. */
	double uniform = ((double)(rendezvous_hash(key, vm) >> 11) + 0.5) / 0x1p53;

	return -(double)weight / log(uniform);
}
