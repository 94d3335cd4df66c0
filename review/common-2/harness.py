"""What the scripts of this review share: processes, a store, engines, requesters.

Every address is a loopback address. The gateway is the program and the template of
the deploy file; the store is the project's own stand-in; engines and requesters are
small ones that follow PROTOCOL.md.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import uuid
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# As the site file's bounds say.
GRACE_S = 8
DRAIN_MS = 2000
CONFIG_APPLY_MS = 2000
CONTACT_S = 3.0
# Of a whole play.
LIMIT_S = 100
KEY = "key-of-one"
TENANT = "one"
SERVICE = "llm"
PORTS = range(15_000, 32_000)
_given = set()


class CannotRun(Exception):
    """The case could not be played."""


def free_port():
    while True:
        port = random.SystemRandom().choice(PORTS)
        if port in _given:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            _given.add(port)
            return port


def render_settings(name, ports, store_port, seeds):
    """Fills in the template of the deploy file, as the platform would."""
    values = {
        "nodeName": name, "zone": "a", "region": "r", "ip": HOST,
        "portRange.0": str(ports["peers"]),
        "listen.ready": f"{HOST}:{ports['ready']}",
        "listen.front": f"{HOST}:{ports['front']}",
        "platform.address": f"{HOST}:{store_port}",
        "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10",
        "bounds.budgetExtraRetries": "54", "bounds.drainMs": str(DRAIN_MS),
        "bounds.configApplyMs": str(CONFIG_APPLY_MS), "bounds.graceS": str(GRACE_S),
        "limits.memoryMb": "260", "limits.maxFds": "4100",
    }
    text = (ROOT / "deploy/settings.json.in").read_text()
    text = re.sub(r"\{\{#cloudApi\.address\}\}.*?\{\{/cloudApi\.address\}\}\n", "", text,
                  flags=re.S)
    listed = ",".join(f'"{HOST}:{port}"' for port in seeds)
    text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", listed, text, flags=re.S)
    return re.sub(r"\{\{([^}]+)\}\}", lambda found: values[found.group(1)], text)


class Process:
    def __init__(self, case, name, command):
        self.case, self.name, self.command = case, name, command
        self.process = None

    async def start(self):
        with open(self.case.folder / f"{self.name}.out", "ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, stdout=out, stderr=out, stdin=asyncio.subprocess.DEVNULL,
                cwd=ROOT)

    def is_up(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_up():
            self.process.send_signal(number)

    async def end(self):
        if self.is_up():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def output(self):
        return (self.case.folder / f"{self.name}.out").read_text(errors="replace")


class Answer:
    """What a requester saw of one request."""

    def __init__(self, ident):
        self.id, self.sent_at, self.ended_at = ident, time.monotonic(), None
        self.status, self.headers, self.body = 0, {}, b""
        self.whole = False
        self.error = ""

    def events(self):
        return [int(i) for i in re.findall(rb"(?m)^id: (\d+)\n", self.body)]

    def __str__(self):
        end = "whole" if self.whole else f"not whole ({self.error or 'closed'})"
        return (f"{self.id} status {self.status}, {len(self.body)} bytes, "
                f"{len(self.events())} events, {end}")


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_answer(reader, answer):
    """Reads one answer by HTTP's own rules."""
    first, answer.headers = await read_head(reader)
    answer.status = int(first.split()[1])
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
    answer.whole = True


class Case:
    """One play: starts the processes, ends them, writes the record."""

    def __init__(self, record):
        self.record_path = Path(record)
        self.lines = []
        self.began = time.monotonic()
        self.processes = []
        self.servers = []
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.store_port = 0
        self.gateways = {}

    def note(self, text):
        line = f"{time.monotonic() - self.began:7.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    async def start_process(self, name, command):
        process = Process(self, name, command)
        self.processes.append(process)
        await process.start()
        return process

    async def start_store(self):
        self.store_port = free_port()
        await self.start_process("store", [
            str(ROOT / "review/bin/standin_metadata"), "--listen", f"{HOST}:{self.store_port}"])
        await self.until(lambda: self.control("/standin/fault", {"clear": True}))

    async def start_gateway(self, name, seeds=(), store_port=None):
        ports = {what: free_port() for what in ("peers", "ready", "front")}
        path = self.folder / f"{name}.json"
        path.write_text(render_settings(name, ports, store_port or self.store_port, seeds))
        process = await self.start_process(name, [
            str(ROOT / "target/dogwoodvaled"), "--settings", str(path)])
        self.gateways[name] = (process, ports)
        return process

    async def wait_ready(self, name):
        port = self.gateways[name][1]["ready"]
        await self.until(lambda: self.is_ready(port))

    async def wait_in_touch(self, name):
        """Until the process has been up for contactMs."""
        await self.wait_ready(name)
        await asyncio.sleep(CONTACT_S + 0.2)

    async def is_ready(self, port):
        answer = Answer("ready")
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        try:
            await asyncio.wait_for(read_answer(reader, answer), 1)
        finally:
            writer.close()
        return answer.status == 200

    async def until(self, check, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                if await check():
                    return
            await asyncio.sleep(0.05)
        raise CannotRun("something did not start")

    async def control(self, path, body, port=None):
        """One call to the control route of the store's stand-in."""
        text = json.dumps(body)
        answer = Answer("control")
        reader, writer = await asyncio.open_connection(HOST, port or self.store_port)
        writer.write(f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                     f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
                     f"{text}".encode())
        try:
            await asyncio.wait_for(read_answer(reader, answer), 2)
        finally:
            writer.close()
        return answer.status == 200

    async def put(self, key, value):
        if not await self.control("/standin/put", {"key": key, "value": json.dumps(value)}):
            raise CannotRun(f"the store did not take {key}")

    async def stop(self):
        for server in self.servers:
            server.close()
        for process in self.processes:
            await process.end()

    def keep(self):
        for name in self.gateways:
            process = self.gateways[name][0]
            self.lines.append(f"-- output of {name}")
            self.lines += [line for line in process.output().splitlines()
                           if "request" in line or "attempt" in line or "stop" in line
                           or "drain" in line or "started" in line]
        self.record_path.write_text("\n".join(self.lines) + "\n")
        self.temporary.cleanup()


def route(prefix, kind, *, attempts=1, resume=False, timeout_ms=15000, target_ms=250,
          gap_ms=120, service=SERVICE, affinity=False):
    return {"name": f"r{prefix.strip('/')}", "host": "site.example", "prefix": prefix,
            "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": target_ms,
            "targetGapMs": gap_ms, "priority": 0, "service": service,
            "maxAttempts": attempts, "public": False, "sessionAffinity": affinity,
            "streamResume": resume}


def configuration(version, routes, keys=(KEY,)):
    return {"version": version, "routes": routes,
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 300,
                          "protocol": "h1", "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": list(keys), "priority": 0}]}


def run(play, record):
    """Plays a case. play(case) returns what broke the rule; nothing if it held."""
    case = Case(record)

    async def body():
        try:
            return await asyncio.wait_for(play(case), LIMIT_S)
        finally:
            await case.stop()

    try:
        broken = asyncio.run(body())
    except Exception as error:  # Whatever it is, it says nothing of the rule.
        case.note(f"the case could not run: {error!r}")
        case.keep()
        sys.exit(2)
    for line in broken:
        case.note(f"BROKEN {line}")
    case.note("the rule was broken" if broken else "the rule held")
    case.keep()
    sys.exit(1 if broken else 0)
