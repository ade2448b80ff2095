"""Stand-in of the platform: the metadata store and the cloud API, over HTTP/1.1.

It keeps rows in tables, with transactions, range reads and feeds, and passes promotions on to the
members. Everything is kept in memory and is linearizable. It has no faults of its own except a
restoration from an older copy, which the users' letter 5 describes.
"""

import asyncio
import base64
import json
import time
import urllib.parse

TX_S = 0.008  # a transaction
ANSWER_S = 0.004  # any other answer
FEED_WAIT_MAX_MS = 30000


class Store:
    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, key) -> (version, value); value is None if the row was dropped
        self.version = 0
        self.oldest = 0  # feeds from before this version get 410
        self.era = 1
        self.changed = asyncio.Event()
        self.copied = None
        self.is_away = False  # every connection is reset
        self.writers = set()
        self.promote = None  # async function of service, id, holder and fence
        self.server = None
        self.port = 0

    # ---- operator and members ----

    def write(self, table, key, value):
        """Write a row as the operator or a member does; None drops it."""
        self._apply([(table, key, None if value is None else
                      base64.b64encode(json.dumps(value).encode()).decode())])

    def copy(self):
        self.copied = (dict(self.rows), self.version)

    def go_away(self):
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def restore(self):
        """Come back from the copy, in the next era."""
        self.is_away = False
        self.rows, self.version = dict(self.copied[0]), self.copied[1]
        self.oldest = self.version
        self.era += 1
        self._notify()

    def read(self, table, key):
        version, value = self.rows.get((table, key), (0, None))
        return None if value is None else json.loads(base64.b64decode(value))

    def _apply(self, changes):
        self.version += 1
        for table, key, value in changes:
            self.rows[(table, key)] = (self.version, value)
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    # ---- calls ----

    def _answer(self, rows, has_more=False):
        return {"rows": rows, "hasMore": has_more, "ver": self.version,
                "nowMs": int(time.monotonic() * 1000)}

    @staticmethod
    def _row(table, key, version, value):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = value
        return row

    async def _get(self, query):
        await asyncio.sleep(ANSWER_S)
        table, start, limit = query["table"], query.get("from", ""), int(query.get("limit", 500))
        target = query.get("target")
        found = sorted(k for (t, k), (_, v) in self.rows.items() if t == table and v is not None
                       and k.encode() >= start.encode()
                       and (not target or k.encode() < target.encode()))
        rows = [self._row(table, k, *self.rows[(table, k)]) for k in found[:limit]]
        return 200, self._answer(rows, len(found) > limit)

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(int(query.get("waitMs", 0)), FEED_WAIT_MAX_MS) / 1000
        era = self.era
        await asyncio.sleep(ANSWER_S)
        while True:
            if after < self.oldest or after > self.version or era != self.era:
                return 410, {}
            found = sorted((ver, k, v) for (t, k), (ver, v) in self.rows.items()
                           if t == table and ver > after)
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, self._answer([self._row(table, k, ver, v) for ver, k, v in found])
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _transaction(self, body):
        await asyncio.sleep(TX_S)
        for entry in body.get("expected", []):
            version, value = self.rows.get((entry["table"], entry["key"]), (0, None))
            if (version if value is not None else 0) != entry["ver"]:
                return 412, self._answer([])
        entries = body.get("upserts", []) + body.get("deletes", [])
        if any(entry["table"] in ("op", "servers") for entry in entries):
            return 403, {}
        self._apply([(e["table"], e["key"], e["value"]) for e in body.get("upserts", [])] +
                    [(e["table"], e["key"], None) for e in body.get("deletes", [])])
        return 200, self._answer([])

    async def _call(self, method, target, headers, body):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if path == "/v1/rows-get":
            return await self._get(query)
        if path == "/v1/rows-feed":
            return await self._feed(query)
        if path == "/v1/rows-tx":
            return await self._transaction(json.loads(body))
        if path == "/promote" and method == "POST":
            call = json.loads(body)
            done = await self.promote(call["service"], call["id"], headers.get("duty-holder"),
                                      int(headers.get("fence-token", "0")))
            return (200 if done else 409), {}
        return 404, {}

    # ---- HTTP ----

    async def _serve(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {name.strip().lower(): value.strip() for name, _, value in
                           (line.partition(":") for line in head[1:] if line)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self._call(method, target, headers, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, self.era, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
