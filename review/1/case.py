"""Case 1: a primary dies while a replica drains and the other replica has received nothing."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))

from world import Client, main, route  # noqa: E402

DEAF_S = 6.5  # replica_lag, how deaf, on the sheet's site
CRASH_S = 7.0  # srv_crash, how dark primary, there


async def write_all_along(world, acknowledged, until):
    """A client that writes 20 times a second through each daemon in turn, and reconnects."""
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
    leaving = await group.add("m-2", "zone-b")
    behind = await group.add("m-3", "zone-c")
    world.configure(7, [route("pledges", "primary")])
    await world.start_daemons(3)
    await world.wait_served(world.daemons[0], "pledges")
    acknowledged = {}
    writer = asyncio.create_task(write_all_along(world, acknowledged, time.monotonic() + 12))

    await asyncio.sleep(2)
    leaving.drain()  # planned: it serves on for drainMs and longer, and counts as a replica
    await asyncio.sleep(1)
    if trouble:
        behind.is_deaf = True
        world.record("m-3 receives nothing from now on")
        await asyncio.sleep(2)
        world.record("m-1, the primary, crashes")
        await primary.stop()
        await asyncio.sleep(DEAF_S - 2)
        behind.is_deaf = False
        world.record("m-3 receives again")
        await asyncio.sleep(CRASH_S - (DEAF_S - 2))
        await group.bring_back(primary)
    await writer
    await asyncio.sleep(1)

    broken = []
    for name, fence, holder, log in group.promotions:
        present = {ident for commit in log for ident, _, _ in commit.writes}
        promoted_at = next(float(line.split()[0]) for line in world.lines
                           if "%s leads term" % name in line) + world.began
        lost = [ident for ident, at in acknowledged.items()
                if at < promoted_at and ident not in present]
        if lost:
            broken.append("LOST: %s was promoted by %s; its log lacks %d acknowledged commits, "
                          "%s to %s" % (name, holder, len(lost), lost[0], lost[-1]))
    world.record("%d commits acknowledged, %d promotions" % (len(acknowledged),
                                                           len(group.promotions)))
    if not acknowledged:
        raise RuntimeError("no write was acknowledged")
    return broken


main(play, FOLDER)
