#include "internal/lead.h"

#include "jh_mirror.h"

/*
 * Drains of data centres as the leader sees them. Its own requests to members, STATUS and
 * STEP_DOWN, end with the bound too: until then a change that the drain itself causes has usually
 * completed.
 */

void _jh_leader_apply_dc_drain(_jh_leader_t *leader, const jh_dc_drain_msg_t *msg)
{
	jh_dc_drains_apply(leader->drains, msg->dc, msg->is_drained, msg->requested_after_us);
	_jh_leader_step_soon(leader);
}

jh_dc_phase_t _jh_leader_member_phase(const _jh_leader_t *leader, const jh_member_t *member)
{
	const jh_settings_t *settings = jh_kernel_settings(jh_task_kernel(leader->task));

	return jh_dc_drains_phase(leader->drains, member->dc, (int64_t)settings->dc_drain_ms * 1000,
				  jh_boot_time_us());
}

bool _jh_leader_may_promote(const _jh_leader_t *leader, const jh_member_t *member)
{
	return !member->is_draining && _jh_leader_member_phase(leader, member) == JH_DC_OPEN;
}

bool _jh_leader_may_ask(const _jh_leader_t *leader, const jh_member_t *member)
{
	return member && _jh_leader_member_phase(leader, member) != JH_DC_CLOSED;
}
