"""Answers that engines break off, before gateways that are weak or suspended."""

import asyncio
import collections
import json
import re
import signal
import socket
import struct

from check import RECOVERED_SHARE, check
from proxy import Proxy
from stops import weaken

ENGINES, GATEWAYS = 4, 3
PATIENCE_S = 6
# The sockets take all of the shorter one; the rest of the longer one waits in the gateway.
UPLOAD_BYTES = (3 << 20, 8 << 20)
UPLOAD_SHARE = 0.3
# Of a plain answer, beside what the engine says.
ANSWER_BYTES = (1, 200_000)
LENGTHS = (4, 30)
SPOILT_SHARE = 0.4
LATE_SHARE = 0.2
# Small, so that most of an unread upload stays at the gateway.
RECEIVE_BYTES = 16_384
# Around the 0.9 s after which a gateway looks for what a silent engine has sent.
SILENCE_S = (0.8, 1.2)
SUSPENDED_S = (0.2, 0.5)

# By length or in chunks as the engine does, in chunks, by the connection's end.
SOUND = ("own", "chunks", "close")
SPOILT = ("reset", "silent_reset", "unread_close")
# A close in order is no end of an answer only while the request is not taken.
SPOILT_UPLOADS = (*SPOILT, "half_close", "unread_reset", "unread_late_reset")
UNREAD = SPOILT_UPLOADS[2:]
LINGER_0 = struct.pack("ii", 1, 0)
FRAMING = re.compile(rb"(?im)^(?:content-length|transfer-encoding): *([^\r\n]*)\r\n")


def framed_by(head):
    """The length that a head states, "chunked" or 0."""
    found = FRAMING.search(head)
    text = found[1].decode().lower() if found else "0"
    return text if text == "chunked" else int(text)


def with_framing(head, line):
    """The head with the line in place of its own length or chunking."""
    return FRAMING.sub(b"", head)[:-2] + line + b"\r\n"


async def pieces_of(reader, framing):
    """The body of an engine's answer: its chunks, or all of it."""
    if framing != "chunked":
        yield await reader.readexactly(framing)
        return
    while size := int(await reader.readuntil(b"\r\n"), 16):
        yield (await reader.readexactly(size + 2))[:-2]


async def peek_request(link):
    """The head of the next request, which is left unread; none after a close."""
    loop = asyncio.get_running_loop()
    while True:
        readable = loop.create_future()
        loop.add_reader(link, lambda: readable.done() or readable.set_result(None))
        try:
            await readable
        finally:
            loop.remove_reader(link)
        data = link.recv(1 << 16, socket.MSG_PEEK)
        end = data.find(b"\r\n\r\n") + 4
        if not data:
            return None
        # Without a byte of the body its close would not be a reset.
        if end > 3 and (framed_by(data[:end]) == 0 or len(data) > end):
            return data[:end]
        await asyncio.sleep(0.001)


class CutProxy(Proxy):
    """Passes on an engine's answers, some of them broken off."""

    def __init__(self, target, play):
        super().__init__(target)
        self.play, self.tasks = play, set()

    async def start(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.server.setblocking(False)
        self.port = self.server.getsockname()[1]
        self._add(self._accept())

    def _add(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await super().stop()

    async def _accept(self):
        while True:
            link, _ = await asyncio.get_running_loop().sock_accept(self.server)
            self._add(self._serve_link(link))

    async def _serve_link(self, link):
        late = b""
        try:
            while link.fileno() >= 0 and (head := await peek_request(link)):
                link.recv(len(head))
                await self._send(link, late)
                self.play.seconds += bool(late)
                late = await self._exchange(link, head)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            link.close()

    @staticmethod
    async def _send(link, data):
        await asyncio.get_running_loop().sock_sendall(link, data)

    async def _exchange(self, link, head):
        """Answers one request. Returns a second answer that comes before the next."""
        ident = re.search(rb"(?i)dogwoodvale-attempt-id: *(\w+)", head)[1].decode()
        left = framed_by(head)
        ending = self.play.draw(left)
        self.play.endings.setdefault(ident, []).append(ending)
        while left > 0 and ending not in UNREAD:
            data = await asyncio.get_running_loop().sock_recv(link, min(left, 1 << 18))
            if not data:
                raise ConnectionResetError
            left -= len(data)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.target)
        try:
            writer.write(with_framing(head, b"Content-Length: 0\r\n"))
            await self._answer(link, reader, ending)
        finally:
            writer.transport.abort()
        return await self._second(link, ident) if ending == "own" else b""

    async def _answer(self, link, reader, ending):
        head = await reader.readuntil(b"\r\n\r\n")
        framing = framed_by(head)
        in_chunks = ending == "chunks" or (ending == "own" and framing == "chunked")
        if ending != "own":
            head = with_framing(head, b"Transfer-Encoding: chunked\r\n" if in_chunks else b"")
        await self._send(link, head)
        events = 0 if ending in SOUND else self.play.rng.randint(1, 4)
        async for piece in pieces_of(reader, framing):
            if events and framing != "chunked":
                piece = piece[:len(piece) // 2]
            await self._send(link, b"%x\r\n%b\r\n" % (len(piece), piece) if in_chunks else piece)
            events -= 1
            if events == 0:
                break
        if in_chunks:
            await self._send(link, b"0\r\n\r\n")
        if ending not in ("own", "chunks"):
            await self._end(link, ending)

    async def _end(self, link, ending):
        if ending == "half_close":
            link.shutdown(socket.SHUT_WR)
            await asyncio.sleep(self.play.rng.choice([0, 0.005]))
        elif ending == "silent_reset":
            await asyncio.sleep(self.play.rng.uniform(*SILENCE_S))
        elif ending == "unread_late_reset":
            await asyncio.sleep(0.05)
        if ending not in ("close", "unread_close"):
            link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
        link.close()

    async def _second(self, link, ident):
        """A second answer to a request: sent soon, or returned for later, or none."""
        if self.play.rng.random() >= self.play.share * LATE_SHARE / SPOILT_SHARE:
            return b""
        stated = self.play.rng.choice([ident, f"{self.play.rng.getrandbits(64):016x}", ""])
        body = json.dumps({"instance": "second", "id": ident}).encode()
        line = f"Dogwoodvale-Attempt-Id: {stated}\r\n" if stated else ""
        late = (f"HTTP/1.1 200 OK\r\n{line}Dogwoodvale-Response-Seal: seal-of-second\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                "\r\n").encode() + body
        if self.play.rng.random() < 0.5:
            return late
        await asyncio.sleep(self.play.rng.uniform(0, 0.05))
        await self._send(link, late)
        self.play.seconds += 1
        return b""


class CutPlay:
    OPTIONS = ()

    def __init__(self, site, callers, rng):
        self.site, self.callers, self.rng = site, callers, rng
        # Of spoilt answers; none before the play begins.
        self.share = 0
        # How each request's answers end, by its id.
        self.endings = {}
        # Answers that came twice.
        self.seconds = 0
        self.weakness = rng.choice([5, 10, 20])
        site.engine_proxy = lambda port: CutProxy(port, self)
        site.timeout_ms, site.slots = PATIENCE_S * 1000, 64
        site.max_body, site.memory_mb = max(UPLOAD_BYTES), 1024
        callers.patience_s, callers.connections = PATIENCE_S, 24
        callers.lengths, callers.answer_bytes = LENGTHS, ANSWER_BYTES
        callers.upload_sizes, callers.upload_share = UPLOAD_BYTES, UPLOAD_SHARE

    def draw(self, length):
        """How an answer to a request with a body of that length is to end."""
        if self.rng.random() >= self.share:
            return self.rng.choice(SOUND)
        return self.rng.choice(SPOILT_UPLOADS if length >= min(UPLOAD_BYTES) else SPOILT)

    async def run(self, seconds):
        self.share = SPOILT_SHARE
        weak, *others = [process for process, _ in self.site.gateways.values()]
        tasks = [asyncio.create_task(weaken(weak, self.weakness)),
                 asyncio.create_task(self._suspend(others))]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await self.site.heal()

    async def _suspend(self, processes):
        while True:
            for process in processes:
                process.signal(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(*SUSPENDED_S))
                process.signal(signal.SIGCONT)
                await asyncio.sleep(self.rng.uniform(0, 0.1))

    def _is_own_stream(self, answer):
        """Whether the body is the answer's own events in order, all if it is whole."""
        first = len(answer.earlier.events()) + 1 if answer.earlier else 1
        for version in set(self.site.software.values()):
            events = "".join(f"id: {i}\ndata: piece {i} {version}\n\n"
                             for i in range(first, answer.length + 1)).encode()
            if answer.body == events or (not answer.whole and events.startswith(answer.body)):
                return True
        return False

    def _is_own_answer(self, answer):
        if "stream" in answer.route:
            return self._is_own_stream(answer)
        if not answer.whole:
            return True
        try:
            body = json.loads(answer.body)
        except ValueError:
            return False
        return (body["id"] == answer.id and body["instance"] in self.site.software
                and len(body["padding"]) == answer.bytes)

    def _not_own(self):
        return [a for a in self.callers.answers
                if a.status == 200 and not self._is_own_answer(a)]

    def _sound(self):
        """Requests whose last answer was a sound one."""
        return [a for a in self.callers.answers
                if self.endings.get(a.id, ["none"])[-1] in SOUND]

    def findings(self):
        findings = check(self.site, self.callers)
        for answer in self._not_own():
            findings.append(
                f"{answer.id} {answer.route} at {answer.gateway}: not its engine's answer, "
                f"{'whole' if answer.whole else 'cut'} after {len(answer.body)} bytes; "
                f"its answers: {' '.join(self.endings.get(answer.id, []))}")
        sound = self._sound()
        served = sum(1 for a in sound if a.status == 200 and a.whole)
        if not sound or served < RECOVERED_SHARE * len(sound):
            findings.append(f"{served} of {len(sound)} sound answers were served")
        return findings

    def summary(self):
        endings = collections.Counter(e for ends in self.endings.values() for e in ends)
        spoilt = " ".join(f"{e}={endings[e]}" for e in SPOILT_UPLOADS)
        sound = self._sound()
        served = sum(1 for a in sound if a.status == 200 and a.whole)
        return (f"weak 1/{self.weakness}, "
                f"{sum(endings[e] for e in SPOILT_UPLOADS)} spoilt ({spoilt}), "
                f"{self.seconds} second answers, {len(self._not_own())} look whole or foreign, "
                f"{served} of {len(sound)} sound answers served "
                f"({served / max(1, len(sound)):.2f}); {self.callers.summary()}")
