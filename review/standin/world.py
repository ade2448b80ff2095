"""A small deployment on loopback addresses: the platform, members, daemons and clients.

The daemons are started with the command and the variables of deploy/system.toml, whose placeholders
are filled in here as the users' DEPLOY.md describes.
"""

import asyncio
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from members import Group
from store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {"graceS": 6, "configMs": 3000, "drainMs": 7000, "quotaWindowS": 5}


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(text, fields):
    """Fill in the placeholders and sections of a deploy file's text."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill(match):
        kind, name, body = match.groups()
        value = lookup(fields, name)
        if kind == "^":
            return "" if value else render(body, fields)
        if isinstance(value, dict):
            parts = list(value.items())
        elif isinstance(value, list):
            parts = list(enumerate(value))
        else:
            return body.replace("{{.}}", str(value)) if value else ""
        return "".join(body.replace("{{@}}", str(key)).replace("{{.}}", str(entry)).replace(
            "{{,}}", "," if i + 1 < len(parts) else "") for i, (key, entry) in enumerate(parts))
    text = section.sub(fill, text)

    def value_of(match):
        value = lookup(fields, match.group(1))
        return "" if value is None else str(value)
    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


class Daemon:
    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.front, self.ready, self.peer = free_port(), free_port(), free_port()
        self.process = None
        self.log = None

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        store = "127.0.0.1:%d" % self.world.store.port
        fields = {"node": self.name, "zone": self.zone, "ip": "127.0.0.1",
                  "portRange": [self.peer, self.peer], "platform": {"addr": store},
                  "cloudApi": {"addr": store}, "bounds": BOUNDS,
                  "listen": {"front": "127.0.0.1:%d" % self.front,
                             "ready": "127.0.0.1:%d" % self.ready},
                  "limits": {"cpuShare": 0.25, "linkMbps": 1000.0},
                  "zones": {zone: "region-1" for zone in self.world.zones}}
        words = [render(word, fields) for word in role["run"].split(" ")]
        env = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C"}
        env.update({name: render(text, fields) for name, text in role["env"].items()})
        self.log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([os.path.join(ROOT, words[0])] + words[1:], env=env, cwd=ROOT,
                                        stdin=subprocess.DEVNULL, stdout=self.log,
                                        stderr=self.log)
        self.world.record("daemon %s started" % self.name)

    def send_signal(self, number):
        self.world.record("daemon %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def log_text(self):
        with open(os.path.join(self.world.folder, self.name + ".log"), "rb") as file:
            return file.read().decode(errors="replace")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_exit(self, limit_s):
        until = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.process.poll()


class Client:
    """A client's session. It has one request outstanding, and follows the users' protocol."""

    counter = 0

    def __init__(self, world, daemon, route, key):
        self.world, self.daemon, self.route, self.key = world, daemon, route, key
        self.reader = self.writer = None
        self.state = "I"
        self.is_open = False

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.daemon.front, limit=2 << 20)
        self.is_open = True
        await self.send("START %s %s" % (self.route, self.key))
        line = await self.line(4)
        if not line or not line.startswith("READY"):
            self.close()
        return line

    async def send(self, text):
        self.writer.write(text.encode("utf-8", "surrogateescape") + b"\r\n")
        await self.writer.drain()

    async def line(self, limit_s):
        """The next message; None if the connection ended, "" if none came in time."""
        try:
            data = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit_s)
            return data[:-2].decode("utf-8", "surrogateescape")
        except asyncio.TimeoutError:
            return ""
        except (asyncio.IncompleteReadError, ConnectionError):
            self.is_open = False
            return None

    @staticmethod
    def new_id():
        Client.counter += 1
        return "c%06x" % Client.counter

    async def query(self, text, limit_s=6, ident=None):
        """Run a statement. Return: its Answer"""
        answer = Answer(ident or self.new_id(), text)
        self.world.record("client of %s sends %s: %s" % (self.daemon.name, answer.id,
                                                        text.replace("\n", "\\n")))
        answer.sent = time.monotonic()
        until = answer.sent + limit_s
        try:
            await self.send("QUERY %s %s" % (answer.id, text))
        except ConnectionError:
            self.is_open = False
        while self.is_open:
            line = await self.line(max(until - time.monotonic(), 0.001))
            if line is None or line == "":
                answer.code = "no answer" if line == "" else "closed"
                break
            word, _, rest = line.partition(" ")
            if word == "ROW":
                answer.rows.append(rest)
            elif word == "DONE":
                answer.code, answer.signature = "ok", rest
            elif word == "ERR":
                answer.code, answer.text = rest.split(" ")[0], rest
            elif word == "READY":
                self.state = rest.split(" ")[0]
                break
        answer.code = answer.code or "closed"
        answer.at = time.monotonic()
        self.world.record("client of %s gets %s: %s %s" % (
            self.daemon.name, answer.id, answer.code, answer.text or " ".join(answer.rows)))
        return answer

    def close(self):
        self.is_open = False
        if self.writer:
            self.writer.close()


class Answer:
    def __init__(self, ident, statement):
        self.id, self.statement = ident, statement
        self.rows = []
        self.code = self.text = self.signature = ""
        self.sent = self.at = 0.0

    @property
    def ok(self):
        return self.code == "ok"


class World:
    def __init__(self, zones=("zone-a", "zone-b", "zone-c")):
        self.zones = zones
        self.began = time.monotonic()
        self.lines = []
        self.folder = tempfile.mkdtemp(prefix="jh-review-")
        self.store = Store(self.record)
        self.store.promote = self._promote
        self.groups = {}
        self.daemons = []
        self.version = 0

    @staticmethod
    def now():
        return time.monotonic()

    def record(self, text):
        self.lines.append("%8.3f  %s" % (time.monotonic() - self.began, text))

    async def _promote(self, service, ident, holder, fence):
        return await self.groups[service].promote(ident, holder, fence)

    async def add_group(self, name="db", **options):
        self.groups[name] = Group(self.store, self.record, name, **options)
        return self.groups[name]

    def configure(self, version, routes, keys=("key-1", "key-2"), **limits):
        """Write a version of the configuration, as the operator does."""
        self.version = version
        config = {"version": version, "routes": routes,
                  "services": [{"name": g.name, "healthPath": "/healthz", "maxConns": 33,
                                "protocol": "h1", "tls": False, "syncReplicas": g.sync}
                               for g in self.groups.values()],
                  "limits": {"txIdleMs": 3000, **limits},
                  "tenants": [{"name": "tenant-1", "apiKeys": list(keys), "priority": 1,
                               "ratePerS": 2000, "burst": 2000}]}
        self.store.write("op", "config", config)
        self.record("operator: version %d is acknowledged" % version)
        return time.monotonic()

    async def start_daemons(self, count=3):
        for i in range(count):
            daemon = Daemon(self, "front-%d" % (i + 1), self.zones[i % len(self.zones)])
            self.daemons.append(daemon)
            daemon.start()
        await self.wait_ready(self.daemons)

    async def wait_ready(self, daemons, limit_s=15):
        until = time.monotonic() + limit_s
        for daemon in daemons:
            while not await daemon.is_ready():
                if time.monotonic() > until or daemon.process.poll() is not None:
                    raise RuntimeError("daemon %s does not become ready" % daemon.name)
                await asyncio.sleep(0.05)

    async def wait_served(self, daemon, route, key="key-1", limit_s=10):
        """Wait until a daemon serves a read of the route. Return: the session"""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            client = Client(self, daemon, route, key)
            line = await client.open()
            if line and line.startswith("READY") and (await client.query("READ warm-up")).ok:
                return client
            client.close()
            await asyncio.sleep(0.1)
        raise RuntimeError("daemon %s does not serve route %s" % (daemon.name, route))

    def end(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.kill()
            if daemon.process:
                daemon.process.wait()
            if daemon.log:
                daemon.log.close()


def route(host, kind, service="db", timeout_ms=1000, max_staleness_ms=2500):
    return {"name": "r-" + host, "host": host, "prefix": "/", "type": kind, "service": service,
            "timeoutMs": timeout_ms, "targetLatencyMs": 400, "priority": 1, "attempts": 2,
            "maxStalenessMs": max_staleness_ms, "isPublic": False}


def main(play, folder):
    """Run @play(world, trouble), which returns what broke the rule, and write the record."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # so that the daemons are ended
    world = None

    async def run():
        nonlocal world
        world = World()
        await world.store.start()
        try:
            return await asyncio.wait_for(play(world, trouble), 100)
        finally:
            world.end()
            await asyncio.sleep(0.2)  # the connections of the daemons end
    try:
        broken = asyncio.run(run())
        status = BROKEN if broken else HELD
        for text in broken:
            world.record("RULE BROKEN: " + text)
    except Exception as error:  # the record says why the case could not run
        broken = []
        if world:
            world.record("the case could not run: %r" % error)
        print("the case could not run: %r" % error, file=sys.stderr)
    finally:
        if world:
            world.end()
            with open(os.path.join(folder, "record.txt"), "w") as file:
                file.write("trouble: %s\nresult: %s\n" % (
                    "yes" if trouble else "no", ("held", "broken", "could not run")[status]))
                file.write("\n".join(line.replace("\n", "\\n") for line in world.lines) + "\n")
                for daemon in world.daemons:
                    if daemon.process:
                        file.write("\n--- log of %s, as far as it concerns the case\n" % daemon.name)
                        file.write("".join(
                            line + "\n" for line in daemon.log_text().splitlines()
                            if re.search(r"event=(config_in_force|primary|lead|phase|promote|"
                                         r"successor|stepped_down|refused|draining|stopped|"
                                         r"store_restored|row_went_back|member |change_)", line)))
    print("rule broken" if status == BROKEN else "rule held" if status == HELD else "not run",
          *(broken[:3] if status == BROKEN else []), sep=": " if status == BROKEN else "")
    sys.stdout.flush()
    os._exit(status)  # without waiting for tasks of connections that are still open
