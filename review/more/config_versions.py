"""CONFIG: versions of the configuration above 10^12 are not applied."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))

from world import BOUNDS, Client, main, route  # noqa: E402

# The operator's versions: the Unix time in milliseconds of each change, as on 5 December 2026.
CLOCK_VERSIONS = (1796428800000, 1796428805250)
SMALL_VERSIONS = (7, 12)


async def play(world, trouble):
    versions = CLOCK_VERSIONS if trouble else SMALL_VERSIONS
    group = await world.add_group("db")
    for i, zone in enumerate(world.zones):
        await group.add("m-%d" % (i + 1), zone, is_primary=i == 0)
    world.configure(versions[0], [route("pledges", "primary"), route("old", "primary")])
    await world.start_daemons(3)
    for daemon in world.daemons:
        await world.wait_served(daemon, "pledges")
    await asyncio.sleep(5)  # all machines are in touch
    acknowledged = world.configure(versions[1], [route("pledges", "primary"),
                                                 route("new", "primary")], keys=("key-1",))
    await asyncio.sleep(2 * BOUNDS["configMs"] / 1000)

    broken = []
    for daemon in world.daemons:
        for name, key, allowed in (("pledges", "key-2", False), ("old", "key-1", False),
                                   ("new", "key-1", True)):
            client = Client(world, daemon, name, key)
            line = await client.open()
            world.record("client of %s: START %s %s -> %s" % (daemon.name, name, key, line))
            answer = await client.query("WRITE item-%s-%s x" % (name, key)) if client.is_open else None
            served = bool(answer and answer.ok)
            if served != allowed:
                broken.append("CONFIG: %s %s route %s with %s, %.1f s after version %d was "
                              "acknowledged" % (daemon.name, "still runs" if served else "refuses",
                                                name, key, world.now() - acknowledged,
                                                versions[1]))
            client.close()
    return broken


main(play, FOLDER)
