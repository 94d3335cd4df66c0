"""Clients that don't behave, each kind a coroutine over one connection."""

import asyncio
import contextlib
import random
import socket
import sys
import uuid

from site_processes import KEYS

LINE_BYTES = 16_000
PIECE_BYTES = 64 << 10
DRIP_S = 1.0
# Larger than what the system buffers for a connection on loopback, so that a part
# stays with the sender.
ANSWER_BYTES = 4 << 20
# Once a client has sent what it had, it holds its connection.
FOREVER_S = 3600


def head(path, *fields, key=True, method="POST"):
    credential = f"Dogwoodvale-Credential: {KEYS[0]}\r\n" if key else ""
    lines = "".join(f"{field}\r\n" for field in fields)
    return (f"{method} {path} HTTP/1.1\r\nHost: soak.example\r\n"
            f"Dogwoodvale-Attempt-Id: {uuid.uuid4().hex[:16]}\r\n"
            f"Dogwoodvale-Deadline-Ms: 15000\r\n{credential}{lines}\r\n").encode()


def chunk(size):
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


def chunked_head():
    return head("/again/x", "Transfer-Encoding: chunked", key=False)


class Connection:
    """One client's connection. limit: of bodies, head_limit: of heads, in bytes."""

    def __init__(self, sock, limit, head_limit, rng):
        self.sock, self.limit, self.head_limit, self.rng = sock, limit, head_limit, rng
        self.loop = asyncio.get_running_loop()

    async def send(self, data):
        await self.loop.sock_sendall(self.sock, data)

    async def send_for_ever(self, data):
        while True:
            await self.send(data)

    async def wait_for_close(self):
        """Takes answers until the other side closes."""
        while await self.loop.sock_recv(self.sock, 65536):
            pass


async def large_chunk(c):
    """One chunk as large as the bound, without its last byte."""
    await c.send(chunked_head() + b"%x\r\n" % c.limit)
    await c.send(b"x" * (c.limit - 1))
    await c.wait_for_close()


async def tiny_chunks(c):
    """Chunks of one byte up to just below the bound."""
    await c.send(chunked_head())
    piece = chunk(1) * 4096
    for _ in range(c.limit // 4096 - 1):
        await c.send(piece)
    await c.wait_for_close()


async def mixed_chunks(c):
    """Chunks of 1 byte to 64 kB up to just below the bound."""
    await c.send(chunked_head())
    left = c.limit - 1
    while left > 0:
        size = min(left, c.rng.choice([1, 16, 1000, c.rng.randint(1, 65536)]))
        await c.send(chunk(size))
        left -= size
    await c.wait_for_close()


async def declared_length(c):
    """A body of a declared length, without its last byte."""
    await c.send(head("/again/x", f"Content-Length: {c.limit}", key=False))
    await c.send(b"x" * (c.limit - 1))
    await c.wait_for_close()


async def slow_body(c):
    """Half of a body, then a byte a second."""
    await c.send(head("/again/x", f"Content-Length: {c.limit}", key=False))
    await c.send(b"x" * (c.limit // 2))
    while True:
        await c.send(b"x")
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(c.wait_for_close(), DRIP_S)
            return


async def endless_lines(c):
    """A chunk extension, a chunk size or trailers without end."""
    begin = c.rng.choice([b"1;a=", b"00000000", b"0\r\nX: "])
    await c.send(chunked_head() + begin)
    await c.send_for_ever((b"0" if begin == b"00000000" else b"a") * LINE_BYTES)


async def endless_heads(c):
    """A head that lacks its end, up to just below its bound."""
    await c.send(b"POST /again/x HTTP/1.1\r\nHost: soak.example\r\n")
    for i in range(c.head_limit // 1024 - 1):
        await c.send(f"X-{i}: {'a' * 1000}\r\n".encode())
    await c.wait_for_close()


async def past_bound(c):
    """A body past the bound that goes on after its refusal."""
    await c.send(chunked_head())
    await c.send_for_ever(chunk(PIECE_BYTES))


async def early_bytes(c):
    """Bytes without end behind a whole request."""
    await c.send(head("/stream/x?events=200", "Content-Length: 0"))
    await c.send_for_ever(b"x" * PIECE_BYTES)


async def many_fields(c):
    """The shortest fields that fit into a head, and a body that lacks its end."""
    fields = ["a:"] * (c.head_limit // 4 - 100)
    await c.send(head("/again/x", f"Content-Length: {c.limit}", *fields, key=False))
    await c.wait_for_close()


async def unread_answers(c):
    """Large answers that are never read."""
    for _ in range(4):
        await c.send(head(f"/again/x?bytes={ANSWER_BYTES}", "Content-Length: 0"))
    await asyncio.sleep(FOREVER_S)


async def unread_metrics(c):
    """Metrics, or refusals, that are asked for again and again and never read."""
    while True:
        await c.send(head("/metrics", key=False, method="GET") * 100)


async def whole_bodies(c):
    """Whole bodies just below the bound, with a customer's key."""
    await c.send(head("/again/x", f"Content-Length: {c.limit - 1}"))
    await c.send(b"x" * (c.limit - 1))
    await c.wait_for_close()


async def resets(c):
    """Half of a body, then a reset."""
    await c.send(chunked_head() + b"%x\r\n" % c.limit)
    await c.send(b"x" * (c.limit // 2))
    c.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")


async def silent(c):
    """A connection that says nothing."""
    await c.wait_for_close()


# At the ports for operators and for other gateways.
INNER_KINDS = {kind.__name__: kind for kind in (
    large_chunk, tiny_chunks, declared_length, many_fields, silent, unread_metrics)}
KINDS = {kind.__name__: kind for kind in (
    large_chunk, tiny_chunks, mixed_chunks, declared_length, slow_body, endless_lines,
    endless_heads, past_bound, early_bytes, many_fields, unread_answers, whole_bodies, resets, silent)}


class Crowd:
    """Clients of the given kinds in turn; each opens anew as its connection ends."""

    def __init__(self, port, kinds, count, limits, seed):
        self.port, (self.limit, self.head_limit) = port, limits
        self.kinds = [(KINDS | INNER_KINDS)[name] for name in kinds]
        self.count, self.seed = count, seed
        self.opened = 0
        self.tasks = []

    def start(self):
        self.tasks = [asyncio.create_task(self._client(i)) for i in range(self.count)]

    async def stop(self):
        pending = self.tasks
        # wait_for() may swallow a cancellation that meets its own time limit.
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=1)

    async def _client(self, number):
        rng = random.Random(f"{self.seed} {number}")
        kind = self.kinds[number % len(self.kinds)]
        loop = asyncio.get_running_loop()
        while True:
            with socket.socket() as sock:
                sock.setblocking(False)
                try:
                    await loop.sock_connect(sock, ("127.0.0.1", self.port))
                    self.opened += 1
                    await kind(Connection(sock, self.limit, self.head_limit, rng))
                except (OSError, asyncio.TimeoutError):
                    pass
            # A refused connection must not make the client spin.
            await asyncio.sleep(0.01)


class CrowdProcess:
    """A crowd in a process of its own, so that it doesn't slow its starter's requests."""

    def __init__(self, port, kinds, count, limits, seed):
        self.words = [str(word) for word in (port, count, *limits, seed, *kinds)]
        self.process, self.opened = None, 0

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, __file__, *self.words, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE)

    async def stop(self):
        """Ends the crowd, which leaves as its standard input closes."""
        out, _ = await self.process.communicate(b"")
        self.opened += int(out)


async def main(port, count, body_limit, head_limit, seed, *kinds):
    crowd = Crowd(int(port), kinds, int(count), (int(body_limit), int(head_limit)), seed)
    crowd.start()
    await asyncio.to_thread(sys.stdin.read)
    await crowd.stop()
    print(crowd.opened)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
