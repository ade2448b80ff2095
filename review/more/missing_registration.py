"""Issue 22, a successor chosen with too few replies when a registration is missing.

As case 1, but the replica with all commits does not leave: it is cut from the store for 5 s, so that
its registration lapses. The primary crashes more than 2.5 s after that, while the other replica has
received nothing for a while.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))

from world import Client, main, route  # noqa: E402

CUT_S = 5.0  # srv_cut, the length that stands in brackets among the kinds
BEAT_S = 1.2


async def write_all_along(world, acknowledged, until):
    number = 0
    sessions = {}
    while time.monotonic() < until:
        daemon = world.daemons[number % len(world.daemons)]
        session = sessions.get(daemon)
        number += 1
        if not session or not session.is_open:
            session = sessions[daemon] = Client(world, daemon, "pledges", "key-1")
            if not (await session.open() or "").startswith("READY"):
                await asyncio.sleep(0.1)
                continue
        answer = await session.query("WRITE pledge-%d meals" % number)
        if answer.ok:
            acknowledged[answer.id] = answer.at
        await asyncio.sleep(0.05)


async def play(world, trouble):
    group = await world.add_group("db", sync=1)
    primary = await group.add("m-1", "zone-a", is_primary=True)
    cut = await group.add("m-2", "zone-b")
    behind = await group.add("m-3", "zone-c")
    world.configure(7, [route("pledges", "primary")])
    await world.start_daemons(3)
    await world.wait_served(world.daemons[0], "pledges")
    acknowledged = {}
    writer = asyncio.create_task(write_all_along(world, acknowledged, time.monotonic() + 14))
    await asyncio.sleep(2)
    if trouble:
        # The last beat of m-2 was a beat before the cut; three beats of silence end its entry.
        began = time.monotonic()
        world.record("m-2 is cut from the store")
        await asyncio.sleep(2 * BEAT_S)
        world.store.write("servers", "m-2", None)
        world.record("the entry of m-2 lapses")
        await asyncio.sleep(0.3)
        behind.is_deaf = True
        world.record("m-3 receives nothing from now on")
        await asyncio.sleep(began + CUT_S - 0.03 - time.monotonic())
        await primary.stop()
        world.record("m-1, the primary, crashes")
        await asyncio.sleep(began + 5 * BEAT_S - time.monotonic())
        cut.register()
        world.record("m-2 is registered again")
        await asyncio.sleep(3)
        behind.is_deaf = False
    await writer
    broken = []
    for name, _, holder, log in group.promotions:
        present = {ident for commit in log for ident, _, _ in commit.writes}
        promoted_at = next(float(line.split()[0]) for line in world.lines
                           if "%s leads term" % name in line) + world.began
        lost = [i for i, at in acknowledged.items() if at < promoted_at and i not in present]
        if lost:
            broken.append("LOST: %s was promoted by %s; its log lacks %d acknowledged commits" % (
                name, holder, len(lost)))
    return broken


main(play, FOLDER)
