"""Starts the project's programs as a small site on loopback, with stand-ins for
engines and requesters that record what they send, get and run."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target" / "dogwoodvaled"
STORE = ROOT / "review" / "bin" / "standin_metadata"

# The bounds of sites/kcl-nairobi.toml.
BOUNDS = {"drainMs": 2000, "graceS": 8, "configApplyMs": 2000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtraRetries": 54,
          "contactMs": 3000}
HOST = "desk.example"
KEYS = {"teller": "key-of-teller", "branch": "key-of-branch"}
SEAL = "Dogwoodvale-Response-Seal"
ATTEMPT = "Dogwoodvale-Attempt-Id"

_given = set()


def is_free(ip, port):
    """Whether nobody listens to the port, by TCP or UDP."""
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind((ip, port))
        return True
    except OSError:
        return False


def free_port(*ips):
    """A port below those of outgoing connections, free at all the addresses."""
    while True:
        port = random.SystemRandom().randrange(15000, 32000)
        if port not in _given and all(is_free(ip, port) for ip in ips or ("127.0.0.1",)):
            _given.add(port)
            return port


def new_id():
    return f"{random.SystemRandom().getrandbits(64):016x}"


class Record:
    """Lines of record.txt, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


class Answer:
    def __init__(self):
        self.status, self.headers, self.body = 0, [], b""
        self.whole = False

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ""


def parse_head(raw):
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers.append((key, value.strip()))
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    """The body that follows a head, and whether it is whole by HTTP's rules."""
    names = {k.lower(): v for k, v in headers}
    body = b""
    try:
        if names.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    return body, True
                body += (await reader.readexactly(size + 2))[:-2]
        elif "content-length" in names:
            length = int(names["content-length"])
            body = await reader.readexactly(length)
            return body, True
        elif until_close:
            return await reader.read(-1), True
        return body, True
    except asyncio.IncompleteReadError as error:
        return body + error.partial, False
    except OSError:
        return body, False


class Connection:
    """A requester's connection; sends a request and reads its answer."""

    def __init__(self, address):
        self.address, self.reader, self.writer = address, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        return self

    def close(self):
        if self.writer:
            self.writer.close()

    async def send(self, raw):
        self.writer.write(raw)
        await self.writer.drain()

    async def receive(self, timeout=10):
        answer = Answer()
        try:
            return await asyncio.wait_for(self._receive(answer), timeout)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
            return answer

    async def _receive(self, answer):
        head = await self.reader.readuntil(b"\r\n\r\n")
        start, answer.headers = parse_head(head)
        answer.status = int(start.split()[1])
        answer.body, answer.whole = await read_body(self.reader, answer.headers, True)
        return answer


def request(method, path, ident, key=KEYS["teller"], body=b"", deadline=4000, extra=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{ATTEMPT}: {ident}",
             f"Dogwoodvale-Deadline-Ms: {deadline}"]
    if key:
        lines.append(f"Dogwoodvale-Credential: {key}")
    lines += extra
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Engine:
    """An engine that answers at once, unless a subclass says otherwise."""

    def __init__(self, site, name, service, ip="127.0.0.1"):
        self.site, self.name, self.service = site, name, service
        self.ip, self.port = ip, free_port(ip)
        self.server, self.seen, self.runs = None, [], []
        self.slots = 6

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)

    def stop(self):
        if self.server:
            self.server.close()

    def entry(self, state="ready", sequence=1):
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": "nbo-a",
                "version": "v1", "slots": self.slots, "state": state,
                "coldRemainingMs": 0, "sequence": sequence}

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                start, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
                self.on_head({k.lower(): v for k, v in headers})
                body, whole = await read_body(reader, headers)
                if not whole:
                    break
                method, target, _ = start.split(" ", 2)
                if not await self.on_request(method, target, headers, body, reader, writer):
                    break
        writer.close()

    def on_head(self, names):
        """A request has reached the engine, its body is yet to come."""

    def run(self, method, target, headers, body):
        """Notes that the engine begins to work on the request."""
        names = {k.lower(): v for k, v in headers}
        one = {"id": names.get(ATTEMPT.lower(), ""), "method": method, "target": target,
               "headers": headers, "names": names, "body": body, "at": time.monotonic()}
        self.runs.append(one)
        self.site.record.note(f"{self.name} runs {one['id']} {method} {target} "
                              f"tenant={names.get('dogwoodvale-tenant')}")
        return one

    def misdirected(self, headers):
        names = {k.lower(): v for k, v in headers}
        expected = names.get("dogwoodvale-expect-instance")
        return expected is not None and expected != self.name

    def marks(self, ident):
        return f"{ATTEMPT}: {ident}\r\n{SEAL}: seal.{self.name}.{ident}\r\n"

    async def on_request(self, method, target, headers, body, reader, writer):
        if self.misdirected(headers):
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\nDogwoodvale-Not-Executed: 1\r\n"
                         b"Content-Length: 0\r\n\r\n")
            await writer.drain()
            return True
        one = self.run(method, target, headers, body)
        return await self.answer(one, writer)

    async def answer(self, one, writer):
        text = f"answer to {one['id']} of {self.name}".encode()
        writer.write(f"HTTP/1.1 200 OK\r\n{self.marks(one['id'])}"
                     f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()
        return True


class Program:
    """A process of the site, ended by its id."""

    def __init__(self, folder, name, command):
        self.folder, self.name, self.command, self.process = folder, name, command, None

    async def start(self):
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *map(str, self.command), cwd=ROOT, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL)

    def is_up(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_up():
            self.process.send_signal(number)

    async def end(self, patience=0.0):
        if self.is_up() and patience > 0:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.process.wait(), patience)
        if self.is_up():
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


class Site:
    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.engines, self.gateways, self.version, self.store = {}, {}, 0, None
        self.store_port = free_port()
        # All gateways of a site use one port for each other, at their own addresses.
        self.peer_port = free_port(*(f"127.0.0.{n}" for n in range(2, 5)))
        self.routes = [
            self.route("/ack/", "non_idempotent", "clearing-api", attempts=1),
            self.route("/poll/", "idempotent", "clearing-api", attempts=2)]
        self.services = [{"name": "clearing-api", "healthPath": "/health", "maxConnections": 100}]
        self.tenants = [{"name": n, "apiKeys": [k]} for n, k in KEYS.items()]
        self.limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 5000, "idleTimeoutMs": 10000}

    @staticmethod
    def route(prefix, kind, service, attempts=1, timeout=2000, **more):
        return {"name": "r" + prefix.strip("/"), "host": HOST, "prefix": prefix, "kind": kind,
                "timeoutMs": timeout, "targetLatencyMs": 300, "priority": 2, "service": service,
                "maxAttempts": attempts, "public": False, "sessionAffinity": False,
                "streamResume": False, **more}

    async def start_store(self):
        self.store = Program(self.folder, "store",
                             [STORE, "--listen", f"127.0.0.1:{self.store_port}"])
        await self.store.start()
        await self.until(lambda: self.store_call("/standin/fault", {"clear": True}))

    async def until(self, check, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await check():
                    return True
            await asyncio.sleep(0.05)
        return False

    async def store_call(self, path, body):
        text = json.dumps(body).encode()
        connection = await Connection(("127.0.0.1", self.store_port)).open()
        await connection.send(f"POST {path} HTTP/1.1\r\nHost: s\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        answer = await connection.receive(3)
        connection.close()
        return answer.status == 200

    async def put(self, key, value):
        return await self.store_call("/standin/put", {"key": key, "value": json.dumps(value)})

    async def remove(self, key):
        return await self.store_call("/standin/remove", {"key": key})

    def document(self):
        """The configuration, as the operator writes it."""
        return {"version": self.version, "routes": self.routes, "services": self.services,
                "tenants": self.tenants, "limits": self.limits}

    async def configure(self):
        self.version += 3
        await self.put("op/config", self.document())
        self.record.note(f"operator: version {self.version} acknowledged")

    async def add_engine(self, engine):
        await engine.start()
        self.engines[engine.name] = engine
        await self.put(f"servers/{engine.name}", engine.entry())
        return engine

    async def add_gateway(self, name, number, **gateway):
        """As deploy/settings.json.in gives it."""
        ip = f"127.0.0.{number}"
        front, ready = free_port(ip), free_port(ip)
        seeds = [f"127.0.0.{n}:{self.peer_port}" for n in range(2, 5)]
        settings = {
            "role": "gateway", "instance": name, "data_centre": "nbo-a", "region": "ke-nairobi",
            "peers": f"{ip}:{self.peer_port}", "operators": f"{ip}:{ready}",
            "peer_secret": "kept-by-the-site-that-deploys",
            "platform": {"store": [f"127.0.0.1:{self.store_port}"]},
            "gateway": {"callers": f"{ip}:{front}", "seeds": seeds,
                        "retry_ratio": BOUNDS["retryBudgetRatio"],
                        "retry_window_s": BOUNDS["budgetWindowS"],
                        "retry_extra": BOUNDS["budgetExtraRetries"],
                        "instance_drain_ms": BOUNDS["drainMs"],
                        "routes_apply_ms": BOUNDS["configApplyMs"],
                        "stop_grace_s": BOUNDS["graceS"], "descriptors": 4100, **gateway}}
        path = self.folder / f"{name}.conf"
        path.write_text(json.dumps(settings))
        program = Program(self.folder, name, [DAEMON, "--settings", path])
        program.front, program.ready, program.settings = (ip, front), (ip, ready), settings
        program.path = path
        self.gateways[name] = program
        await program.start()
        return program

    async def is_ready(self, gateway):
        connection = await Connection(gateway.ready).open()
        await connection.send(b"GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n")
        answer = await connection.receive(2)
        connection.close()
        return answer.status == 200

    async def until_ready(self):
        for gateway in self.gateways.values():
            if not await self.until(lambda g=gateway: self.is_ready(g)):
                raise RuntimeError(f"{gateway.name} does not become ready")
        await asyncio.sleep(1.0)

    async def stop(self):
        programs = [p for p in [*self.gateways.values(), self.store] if p]
        for program in programs:
            program.signal(signal.SIGCONT)
        await asyncio.gather(*(p.end() for p in programs))
        for engine in self.engines.values():
            engine.stop()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case):
    """Runs case(site, record), which returns whether the rule held. Exits with 0
    if it did, 1 if it did not, 2 if the case could not run."""
    for program in (DAEMON, STORE):
        if not program.exists():
            print(f"{program.name} has not been built")
            sys.exit(2)
    record = Record(pathlib.Path(folder) / "record.txt")

    async def play():
        # So that a run that is ended from outside leaves no process behind.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        site = Site(record)
        try:
            await site.start_store()
            return await asyncio.wait_for(case(site, record), 95)
        finally:
            await site.stop()

    try:
        held = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.note("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
