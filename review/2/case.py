"""The store gives no answer for 5.5 s; after its return a key is taken away."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from harness import BOUNDS, KEYS, Connection, Engine, main, new_id, request  # noqa: E402

# TROUBLE=0 plays the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

REVOKED = KEYS["branch"]


async def ask(site, gateway, record, engines):
    """Whether a request with the key that is gone ran."""
    ident = new_id()
    connection = await Connection(gateway.front).open()
    await connection.send(request("GET", "/poll/p", ident, REVOKED))
    answer = await connection.receive()
    connection.close()
    ran = any(run["id"] == ident for engine in engines for run in engine.runs)
    record.note(f"{gateway.name} answers {ident} {answer.status}{', it ran' if ran else ''}")
    return ran


async def case(site, record):
    engines = [await site.add_engine(Engine(site, f"i-a{n}", "clearing-api")) for n in range(3)]
    await site.configure()
    gateways = [await site.add_gateway(f"edge-{n}", 2 + n) for n in range(2)]
    await site.until_ready()
    await site.configure()
    begin = time.monotonic()

    async def until(second):
        await asyncio.sleep(max(0.0, begin + second - time.monotonic()))

    await until(8.5)
    if TROUBLE:
        await site.store_call("/standin/fault", {"silent": True})
        record.note("the store gives no answer")
    await until(14.0)
    await site.store_call("/standin/fault", {"clear": True})
    record.note("the store answers again")
    healed = time.monotonic()
    await until(16.0)
    site.tenants = [t for t in site.tenants if REVOKED not in t["apiKeys"]]
    await site.configure()
    acked = time.monotonic()
    # In touch from contactMs after the outage; due configApplyMs after the ack.
    due = max(healed + BOUNDS["contactMs"] / 1000, acked + BOUNDS["configApplyMs"] / 1000)
    await asyncio.sleep(due + 0.2 - time.monotonic())
    late = 0
    for _ in range(20):
        for gateway in gateways:
            late += await ask(site, gateway, record, engines)
        await asyncio.sleep(0.1)
    record.note(f"{late} of 40 requests ran with the key that was taken away")
    return late == 0


main(FOLDER, case)
