"""Stand-ins of a service's members: a primary and replicas that speak the users' line protocol.

A message ends with CR LF and with nothing else, as the users' page says. The members keep a log of
commits. Replicas receive it over the network and apply it later. Every statement that runs is kept
with its id, so that a case can compare what ran with what its clients sent.
"""

import asyncio
import time

BEAT_S = 1.2
LAPSE_BEATS = 3
STEP_DOWN_S = 1.0  # a former primary follows the new one this long after it can reach it
CONNECTIONS_MAX = 33
SLOTS = 5


class Commit:
    def __init__(self, term, writes):
        self.term = term
        self.writes = writes  # (id, item, data)
        self.at = time.monotonic()


class Member:
    def __init__(self, group, name, zone):
        self.group = group
        self.name = name
        self.zone = zone
        self.is_primary = False
        self.is_up = False
        self.is_deaf = False  # receives nothing from the primary
        self.state = "ready"
        self.term = 1
        self.log = []
        self.applied = 0
        self.lag_s = 0.02  # from receiving a commit to applying it
        self.work_s = 0.003
        self.work_of = {}  # item -> seconds, where it differs from work_s
        self.slots = asyncio.Semaphore(SLOTS)
        self.writers = set()
        self.port = 0
        self.seq = 0
        self.beat_task = None
        self.server = None
        self.born_ms = 0

    # ---- log ----

    def position(self):
        return (self.term, len(self.log) if self.is_primary else self.applied)

    def has(self, term, number):
        visible = len(self.log) if self.is_primary else self.applied
        return visible >= number and self.term >= term and (
            number == 0 or self.log[number - 1].term <= term)

    def lookup(self, item, own_writes):
        for _, name, data in reversed(own_writes):
            if name == item:
                return data
        visible = self.log if self.is_primary else self.log[:self.applied]
        for commit in reversed(visible):
            for _, name, data in reversed(commit.writes):
                if name == item:
                    return data
        return "none"

    def receive(self, source):
        """Take over the log of the primary as it is now."""
        if not self.is_up or self.is_deaf or self.is_primary or not source.is_up:
            return
        kept = 0
        while kept < min(len(self.log), len(source.log)) and self.log[kept] is source.log[kept]:
            kept += 1
        self.log = list(source.log)
        self.applied = min(self.applied, kept)
        self.term = source.term
        asyncio.get_running_loop().call_later(self.lag_s, self._apply, len(self.log), self.term)
        self.group.received.set()

    def _apply(self, number, term):
        if not self.is_primary and self.term == term:
            self.applied = max(self.applied, min(number, len(self.log)))

    # ---- registration ----

    def entry(self):
        return {"service": self.group.name, "addr": "127.0.0.1:%d" % self.port, "zone": self.zone,
                "version": "v1", "slots": SLOTS, "state": self.state, "coldLeftMs": 0,
                "dbRole": "primary" if self.is_primary else "replica", "seq": self.seq,
                "born": self.born_ms}

    def register(self):
        self.seq += 1
        self.group.store.write("servers", self.name, self.entry())

    async def start(self, is_primary=False):
        self.is_primary = is_primary
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True
        self.born_ms = self.born_ms or int(time.time() * 1000)
        self.register()

    async def stop(self):
        """End the process: connections break, and the registration lapses after some beats."""
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

        async def lapse():
            await asyncio.sleep(LAPSE_BEATS * BEAT_S)
            if not self.is_up:
                self.group.store.write("servers", self.name, None)
        self.beat_task = asyncio.create_task(lapse())

    def drain(self):
        self.state = "draining"
        self.register()
        self.group.record("member %s says that it is draining" % self.name)

    # ---- line protocol ----

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        session = Session(self)
        try:
            while self.is_up:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("utf-8", "surrogateescape")
                out, goes_on = await session.handle(line)
                if not self.is_up:
                    break
                writer.write(out.encode("utf-8", "surrogateescape"))
                await writer.drain()
                if not goes_on:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Session:
    def __init__(self, member):
        self.member = member
        self.state = "I"
        self.read_only = False
        self.writes = []
        self.prepared = {}
        self.started = False
        self.client = None

    def ready(self):
        return "READY %s %d.%d\r\n" % ((self.state,) + self.member.position())

    def fail(self, code):
        if self.state == "T" and code not in ("BUSY", "LAGGING", "NOSTMT"):
            self.state = "E"
        return "ERR %s %s\r\n" % (code, self.member.name)

    async def handle(self, line):
        member = self.member
        if not self.started:
            words = line.split(" ")
            if words[0] != "START" or len(words) < 3 or words[1] != member.group.name or (
                    len(words) > 3 and words[3] != member.name):
                return "ERR MISROUTED %s\r\n" % member.name, False
            if len(member.writers) > CONNECTIONS_MAX:
                return "ERR MAXCONN %s\r\n" % member.name, False
            self.started, self.client = True, words[2]
            return self.ready(), True
        word, _, rest = line.partition(" ")
        ident, _, text = rest.partition(" ")
        if word != "QUERY" or not text:
            return "", False
        out = await self.run(ident, text)
        return out + self.ready(), True

    async def run(self, ident, text):
        member, after = self.member, None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            after = tuple(int(part) for part in position.split("."))
        word, _, rest = text.partition(" ")
        if self.state == "E" and word != "ROLLBACK":
            return self.fail("BADMSG")
        if word in ("STATUS", "STEPDOWN", "PAUSE", "RESUME"):
            if word == "STEPDOWN" and member.is_primary and member.term < int(rest):
                member.group.record("%s stands down by STEPDOWN %s" % (member.name, rest))
                member.group.become_replica(member)
            return "ROW %s %d %d.%d 0 0 0 %d\r\nDONE -\r\n" % (
                "primary" if member.is_primary else "replica", member.term, member.term,
                len(member.log), len(member.writers))
        if after and not member.has(*after):
            return self.fail("LAGGING")
        if word == "BEGIN":
            if rest != "READ" and not member.is_primary:
                return self.fail("READONLY")
            self.state, self.read_only, self.writes = "T", rest == "READ", []
            return "DONE -\r\n"
        if word == "ROLLBACK":
            self.state, self.writes = "I", []
            return "DONE -\r\n"
        if word == "RESET":
            self.prepared = {}
            return "DONE -\r\n"
        if word in ("SET", "DEALLOC"):
            return "DONE -\r\n"
        if word == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape
            return "DONE -\r\n"
        return await self.run_data(ident, text, word, rest)

    async def run_data(self, ident, text, word, rest):
        member = self.member
        if word == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.fail("NOSTMT")
            word = self.prepared[name].split(" ")[0]
        if word not in ("READ", "WRITE", "COMMIT"):
            return self.fail("BADMSG")
        item, _, data = rest.partition(" ")
        member.group.arrived.append((time.monotonic(), member.name, ident, text))
        async with member.slots:
            await asyncio.sleep(member.work_of.get(item, member.work_s))
        if not member.is_up:
            return ""
        if self.state == "T" and not self.read_only and not member.is_primary and not (
                word == "COMMIT" and not self.writes):
            return self.fail("READONLY")
        if word == "WRITE" and not member.is_primary:
            return self.fail("READONLY")
        member.group.ran.append((time.monotonic(), member.name, ident, text, self.client))
        if word == "READ":
            data = member.lookup(item, self.writes)
            member.group.record("%s runs %s: %s -> %s" % (member.name, ident, text, data))
            return "ROW %s\r\nDONE %s\r\n" % (data, member.group.signature(member))
        member.group.record("%s runs %s: %s" % (member.name, ident, text))
        if word == "WRITE":
            self.writes.append((ident, item, data))
        if (word == "COMMIT" or self.state == "I") and self.writes:
            writes, self.writes = self.writes, []
            if not await member.group.commit(member, writes):
                return self.fail("UNKNOWN")
        if word == "COMMIT":
            self.state = "I"
        return "DONE %s\r\n" % member.group.signature(member)


class Group:
    """A service: its members, the replication between them and promotions."""

    def __init__(self, store, record, name="db", sync=0, promote_s=0.6):
        self.store = store
        self.record = record
        self.name = name
        self.sync = sync
        self.promote_s = promote_s
        self.net_s = 0.001
        self.members = {}
        self.arrived = []  # (time, member, id, text) of reads, writes and commits
        self.ran = []  # (time, member, id, text, name in START)
        self.promotions = []  # (member, fence, holder, log at that moment)
        self.signatures = 0
        self.received = asyncio.Event()

    async def add(self, name, zone="zone-a", is_primary=False):
        member = Member(self, name, zone)
        self.members[name] = member
        await member.start(is_primary)
        return member

    def signature(self, member):
        self.signatures += 1
        return "%s.%s.%x" % (self.name, member.name, self.signatures)

    def primary(self):
        led = [m for m in self.members.values() if m.is_primary and m.is_up]
        return max(led, key=lambda m: m.term) if led else None

    def replicate(self, primary):
        loop = asyncio.get_running_loop()
        for member in self.members.values():
            if member is not primary:
                loop.call_later(self.net_s, member.receive, primary)

    async def commit(self, member, writes):
        member.log.append(Commit(member.term, writes))
        number = len(member.log)
        self.replicate(member)
        while self.sync and not any(
                m is not member and len(m.log) >= number and m.log[number - 1] is
                member.log[number - 1] for m in self.members.values()):
            if not member.is_up or not member.is_primary:
                return False
            self.received.clear()
            await self.received.wait()
        return True

    def become_replica(self, member):
        member.is_primary = False
        member.applied = len(member.log)
        member.register()

    async def promote(self, ident, holder, fence):
        member = self.members.get(ident)
        self.record("platform: promote %s by %s with fence %d" % (ident, holder, fence))
        if not member or not member.is_up:
            return False
        if self.primary() is member:
            return True
        asyncio.create_task(self._lead(member, holder, fence))
        return True

    async def _lead(self, member, holder, fence):
        await asyncio.sleep(self.promote_s)
        if not member.is_up:
            return
        former = self.primary()
        member.term = max(m.term for m in self.members.values()) + 1
        member.is_primary = True
        self.promotions.append((member.name, fence, holder, list(member.log)))
        self.record("%s leads term %d with %d commits" % (member.name, member.term,
                                                         len(member.log)))
        member.register()
        for other in self.members.values():
            if other is not member and not other.is_primary:
                other.log = [c for c, own in zip(other.log, member.log) if c is own]
                other.applied = min(other.applied, len(other.log))
        self.replicate(member)
        if former:
            await asyncio.sleep(STEP_DOWN_S)
            if former.is_primary and former.term < member.term:
                self.become_replica(former)
                former.receive(member)

    async def bring_back(self, member):
        """Start a crashed member again with its log; as a replica if another one leads."""
        leader = self.primary()
        await member.start(is_primary=member.is_primary and not leader)
        if leader:
            member.applied = len(member.log)
            member.receive(leader)
        self.record("%s is back" % member.name)
