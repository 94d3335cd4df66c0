"""Requesters that keep connections open until their gateway is gone."""

import asyncio
import random
import re
import time
import uuid

from site_processes import KEYS

ROUTES = ["/stream/", "/note/stream/", "/once/", "/again/"]
CONNECTIONS = 12
PATIENCE_S = 4
# Of a stream, unless the callers ask for other lengths.
EVENTS = 12
# Share of streams whose connection breaks midway at the caller, and when.
LEAVING_SHARE = 0.2
LEAVING_S = 0.1
# Before a stream is taken up once more, unless the answer says.
RETRY_S = 0.2


class Answer:
    """What a caller saw of one request."""

    def __init__(self, ident, route, gateway, earlier=None):
        self.id, self.route, self.gateway = ident, route, gateway
        # The attempt whose stream it resumes.
        self.earlier = earlier
        # Asked for beside a plain answer's own.
        self.bytes = 0
        # Of its whole stream.
        self.length = earlier.length if earlier else EVENTS
        self.sent = time.monotonic()
        self.status, self.headers, self.body = 0, {}, b""
        # Whole by HTTP's own rules.
        self.whole = False
        self.ended = self.sent

    def events(self):
        """Ids and software versions of the events, those of earlier attempts first."""
        own = re.findall(rb"id: (\d+)\ndata: piece \d+ (\S+)\n\n", self.body)
        before = self.earlier.events() if self.earlier else []
        return before + [(int(i), version.decode()) for i, version in own]

    def first(self):
        """The attempt that brought the first event."""
        return self.earlier.first() if self.earlier and self.earlier.events() else self

    def can_resume(self):
        return self.route == "/stream/" and not self.whole and bool(self.events())


class Callers:
    def __init__(self, site, rng, own_bodies=False, breaks_streams=False):
        self.site, self.rng, self.own_bodies = site, rng, own_bodies
        self.answers, self.stopping, self.healed_at = [], False, None
        self.breaks_streams = breaks_streams
        # Of each prompt, before a last part of its own; none without.
        self.shared_parts = ""
        self.connections, self.patience_s = CONNECTIONS, PATIENCE_S
        # How often a stream that broke off is taken up before it is given up.
        self.tries = 1
        # The fewest and the most events that a stream is asked for; none: the engine's own.
        self.lengths = None
        # The fewest and the most bytes that are added to a plain answer; none: no bytes.
        self.answer_bytes = None
        # Sizes of long bodies, and the share of requests with one.
        self.upload_sizes, self.upload_share = (), 0
        # Of its own, so that a seed draws the same requests as without breaks.
        self.breaks = random.Random(0)

    def stop(self):
        self.stopping = True

    def mark_healed(self):
        self.healed_at = time.monotonic()

    def summary(self):
        served = sum(1 for a in self.answers if a.status == 200 and a.whole)
        resumed = [a for a in self.answers if a.earlier]
        went_on = sum(1 for a in resumed if a.status == 200)
        return (f"{len(self.answers)} requests, {served} served, "
                f"{went_on} of {len(resumed)} resumed streams went on")

    async def run_until_served(self):
        for _ in range(100):
            if await self._reach_all():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the site does not serve before any fault")

    async def _reach_all(self):
        for name in self.site.gateways:
            answer = await self.once(name, "/again/")
            if answer.status != 200:
                return False
        return True

    async def once(self, name, route, body=b"body", shared_parts=None):
        """One request on a connection of its own, with the callers' parts or others."""
        answer = Answer(uuid.uuid4().hex[:16], route, name)
        try:
            reader, writer = await self._connect(name)
            asking = self._ask(reader, writer, answer, body, shared_parts)
            await asyncio.wait_for(asking, PATIENCE_S)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        return answer

    async def run(self):
        await asyncio.gather(*(self._caller(i) for i in range(self.connections)))

    def _connect(self, name):
        port = self.site.gateways[name][1]
        return asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)

    async def _caller(self, number):
        names = sorted(self.site.gateways)
        while not self.stopping:
            name = names[number % len(names)]
            try:
                reader, writer = await self._connect(name)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            await self._use(name, reader, writer)
            writer.transport.abort()
            number += self.rng.random() < 0.5

    async def _resume(self, answer):
        """Takes up a stream that broke off, as often as the caller's time allows."""
        until = answer.first().sent + self.patience_s
        for _ in range(self.tries):
            again = await self._take_up(answer)
            if again.status == 200 and again.whole:
                return
            if again.body:
                answer = again
            await asyncio.sleep(float(again.headers.get("retry-after", RETRY_S)))
            if time.monotonic() > until - RETRY_S:
                return

    async def _take_up(self, answer):
        """One more attempt at a stream, at another gateway if there is one."""
        others = [n for n in sorted(self.site.gateways) if n != answer.gateway]
        again = Answer(uuid.uuid4().hex[:16], answer.route,
                       self.rng.choice(others or [answer.gateway]), answer)
        self.answers.append(again)
        try:
            reader, writer = await self._connect(again.gateway)
            await asyncio.wait_for(self._ask(reader, writer, again, b"body"), self.patience_s)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        again.ended = time.monotonic()
        return again

    async def _use(self, name, reader, writer):
        """Requests on one connection, until it closes."""
        while not self.stopping:
            answer = Answer(uuid.uuid4().hex[:16], self.rng.choice(ROUTES), name)
            if self.lengths and "stream" in answer.route:
                answer.length = self.rng.randint(*self.lengths)
            elif self.answer_bytes:
                answer.bytes = self.rng.randint(*self.answer_bytes)
            self.answers.append(answer)
            try:
                body = answer.id.encode() if self.own_bodies else b"body"
                if self.upload_share and self.rng.random() < self.upload_share:
                    body = body.ljust(self.rng.choice(self.upload_sizes), b"x")
                await asyncio.wait_for(self._ask(reader, writer, answer, body), self.patience_s)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                return
            finally:
                answer.ended = time.monotonic()
                if answer.can_resume():
                    await self._resume(answer)
            if answer.headers.get("connection") == "close":
                return
            await asyncio.sleep(self.rng.uniform(0, 0.05))

    def _prompt(self, answer, shared_parts):
        parts = self.shared_parts if shared_parts is None else shared_parts
        if not parts:
            return ""
        return ("Dogwoodvale-Model: m\r\nDogwoodvale-Token-Count: 160,12\r\n"
                f"Dogwoodvale-Prompt-Prefix: {parts},{answer.id}:20\r\n")

    async def _ask(self, reader, writer, answer, body, shared_parts=None):
        resumes = ""
        if answer.earlier:
            resumes = (f"Last-Event-Id: {answer.events()[-1][0]}\r\n"
                       f"Resumes: {answer.first().id}\r\n")
        elif (self.breaks_streams and answer.route == "/stream/"
              and self.breaks.random() < LEAVING_SHARE):
            asyncio.get_running_loop().call_later(LEAVING_S, writer.transport.abort)
        more = f"&bytes={answer.bytes}" if answer.bytes else ""
        writer.write(
            f"POST {answer.route}x?events={answer.length}{more} HTTP/1.1\r\nHost: soak.example\r\n"
            f"Dogwoodvale-Attempt-Id: {answer.id}\r\n"
            f"Dogwoodvale-Credential: {self.rng.choice(KEYS)}\r\n"
            f"Dogwoodvale-Deadline-Ms: {self.patience_s * 1000}\r\n{resumes}"
            f"{self._prompt(answer, shared_parts)}"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        answer.headers = {k.lower(): v for k, v in re.findall(r"([^\r\n:]+): *([^\r\n]*)", head)}
        answer.status = int(lines[0].split()[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
        answer.whole = True
