"""A metadata store that can be away for a moment and come back from an older copy."""

import asyncio
import contextlib
import copy
import json
import time
import urllib.parse

from base64 import b64decode, b64encode

from harness import parse_head, read_body

BASE = "/dogwoodvale/kv-"
COPY_PERIOD_S = 0.5


class State:
    """What a copy holds."""

    def __init__(self):
        self.revision, self.items, self.history, self.next_lease = 1, {}, [], 1


class DrillStore:
    """Speaks PROTOCOL.md, "The platform's metadata store". Its era counts the drills."""

    def __init__(self, port, first_era=0):
        self.port, self.era = port, first_era
        self.state, self.leases, self.copies = State(), {}, []
        self.silent, self.writers, self.changed = False, set(), asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.task = asyncio.create_task(self._tick())

    def stop(self):
        self.server.close()
        self.task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    def go_away(self):
        """Cuts all connections; what is asked from now on is never answered."""
        self.silent = True
        for writer in list(self.writers):
            writer.transport.abort()

    async def come_back(self, age):
        """Comes back as it was that many seconds before."""
        limit = time.monotonic() - age
        self.state = copy.deepcopy([c for at, c in self.copies if at <= limit][-1])
        self.copies = []
        # Leases are gone, and with them their keys.
        self.leases = {}
        self.state.items = {k: i for k, i in self.state.items.items() if i["lease"] == 0}
        self.era += 1
        self.silent = False

    async def write(self, puts=(), removed=()):
        state = self.state
        state.revision += 1
        for key, value, lease in puts:
            created = state.items[key]["created"] if key in state.items else state.revision
            item = {"key": key, "value": value, "revision": state.revision,
                    "created": created, "lease": lease}
            state.items[key] = item
            state.history.append(item)
        for key in removed:
            if state.items.pop(key, None):
                state.history.append({"key": key, "revision": state.revision, "deleted": True})
        async with self.changed:
            self.changed.notify_all()
        return state.revision

    async def put(self, key, value):
        await self.write([(key, b64encode(json.dumps(value).encode()).decode(), 0)])

    async def _tick(self):
        while True:
            now = time.monotonic()
            ended = [i for i, (until, _) in self.leases.items() if until < now]
            for ident in ended:
                del self.leases[ident]
            gone = [k for k, i in self.state.items.items() if i["lease"] in ended]
            if gone:
                await self.write(removed=gone)
            if not self.silent and (not self.copies or now - self.copies[-1][0] > COPY_PERIOD_S):
                self.copies.append((now, copy.deepcopy(self.state)))
            async with self.changed:
                self.changed.notify_all()
            await asyncio.sleep(0.05)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                start, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
                body, whole = await read_body(reader, headers)
                if not whole:
                    break
                if self.silent:
                    # Nothing more comes on this connection.
                    await reader.read(-1)
                    break
                method, target, _ = start.split(" ", 2)
                code, answer = await self._answer(method, target, body)
                text = json.dumps(answer).encode()
                if self.silent:
                    await reader.read(-1)
                    break
                writer.write(f"HTTP/1.1 {code} X\r\nStore-Era: {self.era}\r\n"
                             f"Content-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        call = url.path.removeprefix(BASE)
        if call == "key":
            item = self.state.items.get(query["key"])
            return (200, {**item, "storeRevision": self.state.revision}) if item else (404, {})
        if call == "range":
            items = sorted((i for k, i in self.state.items.items()
                            if k.startswith(query["prefix"]) and k > query.get("after", "")),
                           key=lambda i: i["key"])
            return 200, {"items": items[:500], "hasMore": len(items) > 500,
                         "storeRevision": self.state.revision}
        if call == "watch":
            return await self._watch(query)
        if call == "txn":
            return await self._transact(json.loads(body))
        return self._lease(method, call, body)

    async def _watch(self, query):
        after, era = int(query["after"]), self.era
        if after > self.state.revision:
            return 410, {}
        end = time.monotonic() + int(query["waitMs"]) / 1000
        async with self.changed:
            while era == self.era:
                events = [e for e in self.state.history
                          if e["revision"] > after and e["key"].startswith(query["prefix"])]
                if events or time.monotonic() >= end:
                    return 200, {"events": events, "storeRevision": self.state.revision}
                await self.changed.wait()
        return 410, {}

    async def _transact(self, body):
        present = [self.state.items[r["key"]] for r in body.get("expectedRev", [])
                   if r["key"] in self.state.items]
        for row in body.get("expectedRev", []):
            item = self.state.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": present}
        puts = [(p["key"], p["value"], p.get("lease", 0)) for p in body.get("puts", [])]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        for _, value, _ in puts:
            b64decode(value, validate=True)
        return 200, {"revision": await self.write(puts, body.get("remove", []))}

    def _lease(self, method, call, body):
        if call == "lease":
            ident, ttl = self.state.next_lease, json.loads(body)["ttlMs"]
            self.state.next_lease += 1
            self.leases[ident] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": ident, "ttlMs": ttl}
        kind, _, number = call.partition("/")
        known = self.leases.get(int(number)) if number.isdigit() else None
        if known is None:
            return 404, {}
        if kind == "keep" and method == "POST":
            self.leases[int(number)] = (time.monotonic() + known[1] / 1000, known[1])
            return 200, {"ttlMs": known[1]}
        # Its keys go with the next tick.
        self.leases[int(number)] = (0, known[1])
        return 200, {}
