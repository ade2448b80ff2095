"""Case 4: a request that a daemon takes 3.1 s after SIGTERM ends without an answer."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))

from world import BOUNDS, Client, main, route  # noqa: E402

TIMEOUT_S = 3.0  # timeoutMs of the route, as that of roster-view
LONG_S = 2.7
SENT_AFTER_S = 3.12


async def play(world, trouble):
    group = await world.add_group("db")
    for i, zone in enumerate(world.zones):
        await group.add("m-%d" % (i + 1), zone, is_primary=i == 0)
    for member in group.members.values():
        member.work_of["full-roster"] = LONG_S
    world.configure(7, [route("roster", "primary", timeout_ms=int(TIMEOUT_S * 1000))])
    await world.start_daemons(3)
    stopped = world.daemons[0]
    await world.wait_served(stopped, "roster")
    sessions = [Client(world, stopped, "roster", "key-1") for _ in range(6)]
    for session in sessions:
        await session.open()
    at = time.monotonic() + 0.5
    answers = []

    async def use(number, session):
        # Short reads every 0.2 s until SENT_AFTER_S. Then two sessions send a long read, and the
        # others another short one a moment later.
        shift = 0.01 * number
        while time.monotonic() < at + SENT_AFTER_S - 0.2 + shift:
            if not (await session.query("READ guests")).ok:
                return
            await asyncio.sleep(0.18)
        await asyncio.sleep(max(at + SENT_AFTER_S + shift - time.monotonic(), 0))
        if session.is_open and number < 2:
            answers.append(await session.query("READ full-roster", limit_s=8))
        elif session.is_open:
            await session.query("READ guests")

    tasks = [asyncio.create_task(use(i, s)) for i, s in enumerate(sessions)]
    await asyncio.sleep(max(at - time.monotonic(), 0))
    if trouble:
        stopped.send_signal(signal.SIGTERM)
    await asyncio.gather(*tasks)
    if trouble:
        code = await stopped.wait_exit(BOUNDS["graceS"] + 1)
        world.record("daemon %s ended with %s, %.2f s after SIGTERM" % (
            stopped.name, code, time.monotonic() - at))

    passed_on = {ident for _, _, ident, _ in group.arrived}
    broken = []
    for answer in answers:
        lasted = answer.at - answer.sent
        if answer.code == "closed" and answer.id in passed_on and lasted < TIMEOUT_S:
            broken.append("LOST: %s, sent %.2f s after SIGTERM and passed on to a member, gets no "
                          "answer; the connection ends %.2f s after it was sent" % (
                              answer.id, answer.sent - at, lasted))
    if not answers:
        raise RuntimeError("every session had ended before the long read")
    return broken


main(play, FOLDER)
