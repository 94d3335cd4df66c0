"""A planned stop beside engines that read a long body slowly.

Each request is a stream with a long body. Its engine begins to answer before it has
read the body, keeps the connection and reads on later. The gateway gets SIGTERM while
the streams run. TROUBLE=0: the same, but the engine reads the body as it comes.
"""

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import harness  # noqa: E402
from harness import HOST, KEY, TROUBLE, Answer, read_answer, read_head  # noqa: E402

STREAMS = 4
BODY = 100_000
# Read at once; the rest after the pause.
FIRST_PART = 16 * 1024
PAUSE_S = float(os.environ.get("PAUSE_S", "2.0"))
WINDOW = 16 * 1024
EVENTS = 30
GAP_S = 0.1
# From the requests to the stop.
STOP_AFTER_S = 0.3


class Engine:
    def __init__(self, case, ident):
        self.case, self.ident = case, ident
        self.ends = {}

    async def start(self):
        listener = socket.socket()
        # The platform's links have small windows; here the system would take some MB.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        listener.bind((HOST, 0))
        server = await asyncio.start_server(self.serve, sock=listener, limit=WINDOW)
        self.case.servers.append(server)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self):
        return {"service": harness.SERVICE, "address": f"{HOST}:{self.port}", "zone": "a",
                "version": "v1", "slots": 48, "state": "ready", "coldRemainingMs": 0,
                "sequence": 1}

    async def serve(self, reader, writer):
        try:
            while True:
                await self.answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer):
        _, fields = await read_head(reader)
        ident = fields["dogwoodvale-attempt-id"]
        length = int(fields.get("content-length", 0))
        self.case.note(f"engine: {ident} begins to run, body of {length} bytes")
        self.ends[ident] = "broken off by the gateway"
        await reader.readexactly(min(FIRST_PART, length))
        rest = asyncio.create_task(self.read_rest(reader, length - min(FIRST_PART, length)))
        writer.write(f"HTTP/1.1 200 OK\r\nDogwoodvale-Attempt-Id: {ident}\r\n"
                     f"Dogwoodvale-Response-Seal: seal-{ident}\r\n"
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        try:
            for number in range(1, EVENTS + 1):
                event = f"id: {number}\ndata: piece {number}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                await asyncio.sleep(GAP_S)
            await rest
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.ends[ident] = "made to its end"
        except (OSError, asyncio.IncompleteReadError) as error:
            self.ends[ident] = f"broken off by the gateway ({type(error).__name__})"
            raise
        finally:
            rest.cancel()
            self.case.note(f"engine: {ident} {self.ends[ident]}")

    async def read_rest(self, reader, length):
        if TROUBLE:
            await asyncio.sleep(PAUSE_S)
        await reader.readexactly(length)


async def ask(case, port, answer):
    reader, writer = await asyncio.open_connection(HOST, port)
    body = b"x" * BODY
    writer.write(f"POST /notes/1 HTTP/1.1\r\nHost: site.example\r\n"
                 f"Dogwoodvale-Attempt-Id: {answer.id}\r\n"
                 "Dogwoodvale-Deadline-Ms: 15000\r\n"
                 f"Dogwoodvale-Credential: {KEY}\r\n"
                 f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
    try:
        await writer.drain()
        case.note(f"requester: {answer.id} sent whole")
        await asyncio.wait_for(read_answer(reader, answer), 16)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        answer.error = type(error).__name__
        if isinstance(error, asyncio.IncompleteReadError):
            answer.body += error.partial
    case.note(f"requester: {answer}")
    writer.close()


async def play(case):
    await case.start_store()
    engine = Engine(case, "i-1")
    await engine.start()
    await case.put("op/config", harness.configuration(
        1, [harness.route("/notes/", "streaming")]))
    await case.put("servers/i-1", engine.entry())
    gateway = await case.start_gateway("edge-1")
    await case.wait_in_touch("edge-1")
    port = case.gateways["edge-1"][1]["front"]
    answers = [Answer(f"{number:016x}") for number in range(1, STREAMS + 1)]
    asking = [asyncio.create_task(ask(case, port, answer)) for answer in answers]
    await asyncio.sleep(STOP_AFTER_S)
    case.note("SIGTERM to the gateway")
    gateway.signal(signal.SIGTERM)
    await asyncio.gather(*asking)
    if any(answer.id not in engine.ends for answer in answers):
        raise harness.CannotRun("a request did not reach the engine")
    return [f"LOST {answer}; engine: {engine.ends[answer.id]}"
            for answer in answers if not answer.whole]


if __name__ == "__main__":
    harness.run(play, Path(__file__).with_name("record.txt"))
