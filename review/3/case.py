"""Case 3: a route moves to another service and back; a session reads before its own write."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))

from world import Client, main, route  # noqa: E402

USUAL_LAG_S = 0.02
LAG_FACTOR = 60  # replica_lag, on the sheet's site


def routes(service):
    return [route("rations", "own", service, max_staleness_ms=2500),
            route("stock-one", "primary", "db-1"), route("stock-two", "primary", "db-2")]


async def background(world, until):
    """Other clients keep both primaries in use, as on any day."""
    sessions = [Client(world, daemon, name, "key-2") for daemon in world.daemons
                for name in ("stock-one", "stock-two")]
    for session in sessions:
        await session.open()
    number = 0
    while time.monotonic() < until:
        number += 1
        for session in sessions:
            await session.query("WRITE stock-%d %d" % (number % 7, number))
        await asyncio.sleep(0.1)


async def until_service(client, text, service):
    """Repeat a statement until it is run by the service. Return: the answer"""
    while True:
        answer = await client.query(text)
        if answer.ok and answer.signature.startswith(service + "."):
            return answer
        await asyncio.sleep(0.02)


async def play(world, trouble):
    for name in ("db-1", "db-2"):
        group = await world.add_group(name)
        for i, zone in enumerate(world.zones):
            await group.add("%s-m%d" % (name, i + 1), zone, is_primary=i == 0)
    world.configure(7, routes("db-1"))
    await world.start_daemons(3)
    for daemon in world.daemons:
        await world.wait_served(daemon, "stock-one")
    other = asyncio.create_task(background(world, time.monotonic() + 8))
    await asyncio.sleep(3)
    if trouble:
        world.record("replicas of db-1 apply %d times as late" % LAG_FACTOR)
        for member in world.groups["db-1"].members.values():
            member.lag_s = USUAL_LAG_S * LAG_FACTOR
    await asyncio.sleep(1)

    broken = []
    clients = []
    for daemon in world.daemons:
        clients.append(Client(world, daemon, "rations", "key-1"))
        await clients[-1].open()

    async def follow(client, tag, moved, returned):
        item = "delivery-" + tag
        written = await until_service(client, "WRITE %s atta" % item, "db-1")
        moved["ready"].set()
        await moved["done"].wait()
        await until_service(client, "WRITE other-%s dal" % tag, "db-2")
        returned["ready"].set()
        await returned["done"].wait()
        for _ in range(20):
            answer = await until_service(client, "READ " + item, "db-1")
            if answer.rows != ["atta"]:
                broken.append("STALE: %s on an own route returns %r from %s, %d ms after its "
                              "session's write %s there was acknowledged" % (
                                  answer.id, answer.rows, answer.signature,
                                  (answer.sent - written.at) * 1000, written.id))

    moved = [{"ready": asyncio.Event(), "done": asyncio.Event()} for _ in clients]
    returned = [{"ready": asyncio.Event(), "done": asyncio.Event()} for _ in clients]
    tasks = [asyncio.create_task(follow(client, str(i), moved[i], returned[i]))
             for i, client in enumerate(clients)]
    for step in moved:
        await step["ready"].wait()
    await asyncio.sleep(0.2)
    world.configure(9, routes("db-2"))
    for step in moved:
        step["done"].set()
    for step in returned:
        await step["ready"].wait()
    await asyncio.sleep(0.4)
    world.configure(12, routes("db-1"))  # the operator takes the change back
    for step in returned:
        step["done"].set()
    await asyncio.gather(*tasks)
    await other
    return broken


main(play, FOLDER)
