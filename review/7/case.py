"""A planned stop while one engine preempts its streams and the other one is full.

Streams that may be resumed run on two engines. The gateway gets SIGTERM. Then one
engine's memory runs out: it preempts its runs in the middle of their streams, reads
them in again and goes on after a pause. The other engine is full and rejects, as it
says, what comes. TROUBLE=0: the same without the preemption.
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import harness  # noqa: E402
from harness import HOST, KEY, TROUBLE, Answer, read_answer, read_head  # noqa: E402

STREAMS = 8
EVENTS = 30
GAP_S = 0.1
# From the requests on.
STOP_AT_S = 0.3
PREEMPTED_AT_S = 0.8
# Below the two seconds after which a requester abandons its stream.
READ_IN_AGAIN_S = 1.5


class Engine:
    def __init__(self, case, ident):
        self.case, self.ident = case, ident
        self.is_full = False
        self.resumes_at = 0.0
        self.ends = {}

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.case.servers.append(server)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self):
        return {"service": harness.SERVICE, "address": f"{HOST}:{self.port}", "zone": "a",
                "version": "v1", "slots": 4, "state": "ready", "coldRemainingMs": 0,
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
        await reader.readexactly(int(fields.get("content-length", 0)))
        if self.is_full:
            self.case.note(f"{self.ident}: {ident} rejected, not run")
            writer.write(f"HTTP/1.1 503 Service Unavailable\r\nDogwoodvale-Attempt-Id: {ident}\r\n"
                         "Dogwoodvale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return
        self.case.note(f"{self.ident}: {ident} begins to run")
        self.ends[ident] = "broken off by the gateway"
        writer.write(f"HTTP/1.1 200 OK\r\nDogwoodvale-Attempt-Id: {ident}\r\n"
                     f"Dogwoodvale-Response-Seal: seal-{ident}\r\n"
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        try:
            for number in range(1 + int(fields.get("last-event-id", 0)), EVENTS + 1):
                await asyncio.sleep(max(0.0, self.resumes_at - harness.time.monotonic()))
                if reader.at_eof() or writer.is_closing():
                    raise ConnectionResetError
                event = f"id: {number}\ndata: piece {number}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                await asyncio.sleep(GAP_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.ends[ident] = "made to its end"
        finally:
            self.case.note(f"{self.ident}: {ident} {self.ends[ident]}")

    def preempt(self):
        self.case.note(f"{self.ident}: preempts its runs, goes on in {READ_IN_AGAIN_S} s")
        self.resumes_at = harness.time.monotonic() + READ_IN_AGAIN_S


async def ask(case, port, answer):
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"POST /checks/1 HTTP/1.1\r\nHost: site.example\r\n"
                 f"Dogwoodvale-Attempt-Id: {answer.id}\r\n"
                 "Dogwoodvale-Deadline-Ms: 6000\r\n"
                 f"Dogwoodvale-Credential: {KEY}\r\nContent-Length: 4\r\n\r\nscan".encode())
    try:
        await asyncio.wait_for(read_answer(reader, answer), 6)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        answer.error = type(error).__name__
    case.note(f"requester: {answer}")
    writer.close()


async def play(case):
    await case.start_store()
    engines = [Engine(case, "i-1"), Engine(case, "i-2")]
    await case.put("op/config", harness.configuration(1, [harness.route(
        "/checks/", "streaming", attempts=2, resume=True, timeout_ms=6000, target_ms=600,
        gap_ms=200)]))
    for engine in engines:
        await engine.start()
        await case.put(f"servers/{engine.ident}", engine.entry())
    gateway = await case.start_gateway("edge-1")
    await case.wait_in_touch("edge-1")
    port = case.gateways["edge-1"][1]["front"]
    answers = [Answer(f"{number:016x}") for number in range(1, STREAMS + 1)]
    asking = [asyncio.create_task(ask(case, port, answer)) for answer in answers]
    await asyncio.sleep(STOP_AT_S)
    case.note("SIGTERM to the gateway")
    gateway.signal(signal.SIGTERM)
    await asyncio.sleep(PREEMPTED_AT_S - STOP_AT_S)
    engines[1].is_full = True
    if TROUBLE:
        engines[0].preempt()
    await asyncio.gather(*asking)
    if not engines[0].ends:
        raise harness.CannotRun("no stream ran on the first engine")
    return [f"LOST {answer}; i-1: {engines[0].ends.get(answer.id, 'not there')}"
            for answer in answers if not answer.whole]


if __name__ == "__main__":
    harness.run(play, Path(__file__).with_name("record.txt"))
