#ifndef FORWARD_FAKE_H
#define FORWARD_FAKE_H

#include "gateway_fake.h"

/*
 * A gateway among more VMs than its group has connections, for the tests of both sides of
 * forwarding. The other VMs are frames that each test reads and writes.
 */

#define FLEET_VMS 20
#define OTHER_BOOT 7

static GPtrArray *ranked;
/* Data centre of the VMs with an odd number; the others are in dc-1. */
static const char *odd_dc = "dc-1";

/* The VMs are in the data centres of both members, by turns; this VM is beside the replica. */
static bool has_two_dcs;
/* Weight of this VM; that of the others is 100. */
static unsigned own_weight = 100;

/* Return: the VMs; borrowed from the message */
static inline GPtrArray *publish_vms(void)
{
	GPtrArray *vms = g_ptr_array_new();
	GPtrArray *copy = g_ptr_array_new();
	unsigned i;

	for (i = 0; i < FLEET_VMS; i++) {
		jh_vm_t vm = { .dc = (char *)(i % 2 == 0  ? odd_dc :
					      has_two_dcs ? "dc-2" :
							    "dc-1"),
			       .host = (char *)"127.0.0.1",
			       .state = JH_VM_LIVE,
			       .weight = i == 0 ? own_weight : 100 };

		vm.name = g_strdup_printf("vm-%u", i + 1);
		g_ptr_array_add(vms, jh_vm_copy(&vm));
		g_ptr_array_add(copy, g_ptr_array_index(vms, i));
		g_free(vm.name);
	}
	ranked = jh_holder_rank_vms(copy, "db", 4);
	g_ptr_array_free(copy, TRUE);
	jh_vms_publish(catalogue, vms, true);
	return vms;
}

/* Return: name of the VM that is the group's holder, or stands in for @rank others */
static inline const char *holder_name(unsigned rank)
{
	return g_ptr_array_index(ranked, rank);
}

static inline void set_up_fleet(reply_fn_t replies)
{
	config_teams = 2;
	set_up_without_config(replies);
	publish_vms();
	publish_config();
	wait_us(10000);
	ck_assert_str_ne(holder_name(0), settings.vm);
	ck_assert_str_ne(holder_name(1), settings.vm);
}

/*
 * Sets up a fleet whose holders are chosen by data centre. Return: its holders, as the gateway
 * knows them; not freed
 */
static inline jh_holder_map_t *set_up_two_dcs(reply_fn_t replies, bool is_holder)
{
	GPtrArray *vms;
	GPtrArray *dcs = g_ptr_array_new();
	jh_holder_fleet_t fleet = { .group = "db", .dcs = dcs };
	jh_holder_map_t *map;

	has_two_dcs = true;
	own_weight = is_holder ? JH_VM_WEIGHT_MAX * 1000 : 1;
	config_teams = 2;
	config_connections = 20;
	set_up_without_config(replies);
	vms = publish_vms();
	publish_config();
	g_ptr_array_add(dcs, (void *)"dc-1");
	g_ptr_array_add(dcs, (void *)"dc-2");
	fleet.vms = vms;
	fleet.connections = config_connections;
	map = jh_holder_map_new(&fleet);
	ck_assert_ptr_nonnull(map);
	wait_us(10000);
	ck_assert_int_eq(jh_holder_map_holds(map, settings.vm), is_holder);
	return map;
}

/* Waits for the next frame of @kind and removes it and those before it. Return: freed with kernel
 */
static inline Jh__Frame *take_frame(Jh__Frame__BodyCase kind, const char *vm)
{
	static unsigned taken;
	int64_t until = g_get_monotonic_time() + WAIT_MAX_US;

	while (g_get_monotonic_time() < until) {
		while (taken < sent_frames->len) {
			const sent_frame_t *sent =
				&g_array_index(sent_frames, sent_frame_t, taken++);

			if (sent->frame->body_case != kind)
				continue;
			ck_assert_str_eq(sent->vm, vm);
			return sent->frame;
		}
		run_once();
	}
	ck_abort_msg("no frame of kind %d", kind);
	return NULL;
}

static inline unsigned count_frames(Jh__Frame__BodyCase kind)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < sent_frames->len; i++)
		count += g_array_index(sent_frames, sent_frame_t, i).frame->body_case == kind;
	return count;
}

static inline void deliver(const char *vm, Jh__Frame *frame)
{
	jh_frame_deliver(peer, vm, OTHER_BOOT, frame);
}

static inline void publish_peer_down(const char *vm)
{
	jh_peer_down_msg_t *msg = g_rc_box_new0(jh_peer_down_msg_t);

	msg->vm = g_intern_string(vm);
	msg->boot = OTHER_BOOT;
	jh_publish(peer, JH_MSG_PEER_DOWN, msg, NULL);
}

#endif
