"""A short outage of the store just after it has acknowledged a configuration.

The gateways' watches wait at the store. A new configuration takes a key away; the store
acknowledges it and is silent for a moment, so that the answers to the watches are lost.
After that the store serves everybody. Requests with the key that was taken away follow.
An outage is noticed if another call of a gateway falls into it; so there are up to three
rounds, each with a key of its own, until one shows the fault. TROUBLE=0: the same without
the outages.
"""

import asyncio
import contextlib
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import harness  # noqa: E402
from harness import HOST, TROUBLE, Answer, read_answer, read_head, time  # noqa: E402

GATEWAYS = 3
ROUNDS = 3
KEPT = "key-that-stays"
DROPPED = [f"key-that-goes-{number}" for number in range(1, ROUNDS + 1)]
# One way between a gateway and the store, from one zone to another.
LATENCY_S = 0.0014
# How long the store is silent.
SILENT_S = float(os.environ.get("SILENT_S", "0.05"))
# How long requests go on after the acknowledgement.
WATCHED_S = 6.0
ASK_EACH_S = 0.25
# How much later each round begins within the period of the gateways' calls.
APART_S = 0.5


class Link:
    """The way from the gateways to the store.

    While it is silent nothing passes, and a connection on which an answer is lost
    returns nothing further.
    """

    def __init__(self, case):
        self.case, self.silent = case, False
        self.lost = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.case.servers.append(server)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        state = {"dead": self.silent}
        try:
            there = await asyncio.open_connection(HOST, self.case.store_port)
            await asyncio.gather(self.pump(reader, there[1], state),
                                 self.pump(there[0], writer, state))
        except OSError:
            pass
        finally:
            writer.close()

    async def pump(self, reader, writer, state):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await asyncio.sleep(LATENCY_S)
                if self.silent and not state["dead"]:
                    state["dead"] = True
                    self.lost += 1
                if not state["dead"]:
                    writer.write(data)
                    await writer.drain()
            writer.close()


async def engine(reader, writer):
    try:
        while True:
            _, fields = await read_head(reader)
            await reader.readexactly(int(fields.get("content-length", 0)))
            writer.write(f"HTTP/1.1 200 OK\r\n"
                         f"Dogwoodvale-Attempt-Id: {fields['dogwoodvale-attempt-id']}\r\n"
                         "Dogwoodvale-Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok".encode())
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def ask(port, key, ident):
    answer = Answer(ident)
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"GET /polls/1 HTTP/1.1\r\nHost: site.example\r\n"
                 f"Dogwoodvale-Attempt-Id: {ident}\r\nDogwoodvale-Deadline-Ms: 4000\r\n"
                 f"Dogwoodvale-Credential: {key}\r\nConnection: close\r\n\r\n".encode())
    await asyncio.wait_for(read_answer(reader, answer), 5)
    writer.close()
    return answer


async def play_round(case, link, names, routes, turn):
    key = DROPPED[turn]
    await case.put("op/config", harness.configuration(
        turn + 2, routes, (KEPT, *DROPPED[turn + 1:])))
    link.silent = TROUBLE
    acked = time.monotonic()
    case.note(f"version {turn + 2} is acknowledged, it takes {key} away")
    if TROUBLE:
        lost = link.lost
        await asyncio.sleep(SILENT_S)
        link.silent = False
        case.note(f"the store was silent for {SILENT_S * 1000:.0f} ms, {link.lost - lost} "
                  "connections lost an answer")
    healed = time.monotonic()
    broken, number = [], turn * 1000
    while time.monotonic() < acked + WATCHED_S:
        await asyncio.sleep(ASK_EACH_S)
        for name in names:
            number += 1
            sent = time.monotonic()
            answer = await ask(case.gateways[name][1]["front"], key, f"{number:016x}")
            case.note(f"{name}: {sent - acked:.2f} s after the ack, {sent - healed:.2f} s after "
                      f"the outage: {answer.status}")
            is_bound = (sent > acked + harness.CONFIG_APPLY_MS / 1000
                        and sent > healed + harness.CONTACT_S)
            if is_bound and answer.status == 200:
                broken.append(f"CONFIG {name} runs a request with {key}, "
                              f"{sent - acked:.2f} s after the ack")
    return broken


async def play(case):
    await case.start_store()
    link = Link(case)
    await link.start()
    server = await asyncio.start_server(engine, HOST, 0)
    case.servers.append(server)
    port = server.sockets[0].getsockname()[1]
    routes = [harness.route("/polls/", "idempotent", timeout_ms=2000, target_ms=300)]
    await case.put("op/config", harness.configuration(1, routes, (KEPT, *DROPPED)))
    await case.put("servers/i-1", {
        "service": harness.SERVICE, "address": f"{HOST}:{port}", "zone": "a", "version": "v1",
        "slots": 48, "state": "ready", "coldRemainingMs": 0, "sequence": 1})
    names = [f"edge-{number}" for number in range(1, GATEWAYS + 1)]
    for name in names:
        await case.start_gateway(name, store_port=link.port)
    for name in names:
        await case.wait_ready(name)
    await asyncio.sleep(harness.CONTACT_S + 0.7)
    for turn in range(ROUNDS):
        # Rounds of six seconds would all meet the gateways at the same point of their period.
        await asyncio.sleep(turn * APART_S)
        broken = await play_round(case, link, names, routes, turn)
        if broken:
            return broken
    return []


if __name__ == "__main__":
    harness.run(play, Path(__file__).with_name("record.txt"))
