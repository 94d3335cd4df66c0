"""A loopback TCP proxy whose links can be made to misbehave."""

import asyncio
import contextlib

CHUNK = 16384


class Proxy:
    """Forwards connections to one target; faults apply to all of them."""

    def __init__(self, target):
        self.target = target
        self.port = 0
        self.delay = 0.0
        # Bytes go nowhere and nothing is closed: a link that fell silent.
        self.silent_there = False
        self.silent_back = False
        self.refuses = False
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def heal(self):
        self.delay = 0.0
        self.silent_there = self.silent_back = self.refuses = False

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        self.server.close()
        self.reset_all()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.refuses:
                return
            there = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(there[1])
            back = asyncio.create_task(self._pump(there[0], writer, "silent_back"))
            await self._pump(reader, there[1], "silent_there")
            # The caller has left: so must the other side see.
            there[1].transport.abort()
            await back
            self.writers.discard(there[1])
        except OSError:
            pass
        finally:
            writer.transport.abort()
            self.writers.discard(writer)

    async def _pump(self, reader, writer, silence):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(CHUNK):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while getattr(self, silence):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
            if not writer.is_closing():
                writer.write_eof()
