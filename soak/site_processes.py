"""The processes of a site: a store, engines, gateways; started and ended by id."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import time

from proxy import Proxy

SECRET = "a secret of the soak's own"
SOFTWARE = ["v1", "v2"]
KEYS = ["key-one", "key-two"]
DRAIN_MS = 1000
GRACE_S = 4


# Below the ports that the system gives to outgoing connections: one of these could
# take a port between its choice and the start of the process that is to listen.
LISTEN_PORTS = range(15_000, 32_000)
_given = set()


def free_port():
    """A port that is free and was not given out before."""
    while True:
        port = random.SystemRandom().choice(LISTEN_PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if port not in _given:
                _given.add(port)
                return port


async def post_soon(port, path, body):
    """As post(), to a process that has just been started."""
    for _ in range(50):
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            return await post(port, path, body)
        await asyncio.sleep(0.1)
    return await post(port, path, body)


async def post(port, path, body, timeout=2):
    """One JSON call to a stand-in's control route."""
    text = json.dumps(body)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode()
    )
    await asyncio.wait_for(reader.read(), timeout)
    writer.close()


class Process:
    """One program that can be restarted with the same command."""

    def __init__(self, site, name, command):
        self.site, self.name, self.command = site, name, command
        self.process = None
        self.paused = False
        self.starting = asyncio.Lock()

    async def start(self):
        """Starts it, unless it runs: two faults may end the same process, and two
        that start it at once would leave one that nobody knows."""
        async with self.starting:
            if not self.is_up():
                await self._spawn()

    async def _spawn(self):
        with open(self.site.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
            )
        self.paused = False

    def is_up(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_up():
            self.process.send_signal(number)
            self.paused = number == signal.SIGSTOP

    async def end(self, patience):
        """Waits, then kills. Returns whether it ended by itself."""
        if not self.is_up():
            return True
        if self.paused:
            self.signal(signal.SIGCONT)
        try:
            await asyncio.wait_for(self.process.wait(), patience)
            return True
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
            return False


class Site:
    def __init__(self, build, folder, rng, crash_options=()):
        """With crash_options, engines end under a request, and no proxy stands before
        them: one would take connections for an engine that has ended."""
        self.build, self.folder, self.rng = build, folder, rng
        self.grace_s, self.timeout_ms, self.slots = GRACE_S, 3000, 8
        self.max_body, self.memory_mb = 65536, 128
        # Makes the proxy before an engine's port.
        self.engine_proxy = Proxy
        self.versions, self.first_era = SOFTWARE, 1
        self.crash_options = list(crash_options)
        self.engines, self.gateways, self.proxies = {}, {}, {}
        self.settings, self.version, self.log = {}, 0, []
        self.engine_count = 0
        # Software version of each engine, retired ones too.
        self.software = {}
        self.findings = []
        self.events = []

    def note(self, text):
        self.events.append(f"{time.monotonic():.3f} {text}")

    async def start(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        self.store_port = free_port()
        self.store = Process(self, "store", [
            f"{self.build}/standin_metadata", "--listen", f"127.0.0.1:{self.store_port}",
            "--era", str(self.first_era)])
        await self.store.start()
        await post_soon(self.store_port, "/standin/fault", {"clear": True})
        for _ in range(self.rng.randrange(2, 5)):
            await self.add_engine()
        await self.configure()
        for i in range(self.rng.randrange(2, 4)):
            await self.add_gateway(f"g{i}")

    async def configure(self):
        """Writes the next version; routes of the soak stay the same in all."""
        self.version += self.rng.randrange(1, 4)

        def route(prefix, kind, attempts, resume):
            return {"name": f"r{prefix}", "host": "soak.example", "prefix": prefix,
                    "kind": kind, "timeoutMs": self.timeout_ms, "targetLatencyMs": 200,
                    "targetGapMs": 100, "priority": 0, "service": "s",
                    "maxAttempts": attempts, "public": False,
                    "sessionAffinity": False, "streamResume": resume}

        config = {
            "version": self.version,
            "routes": [route("/stream/", "streaming", 3, True),
                       route("/note/stream/", "streaming", 1, False),
                       route("/once/", "non_idempotent", 2, False),
                       route("/again/", "idempotent", 3, False),
                       route(f"/v{self.version}/", "idempotent", 1, False)],
            "services": [{"name": "s", "maxConnections": 64}],
            "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": self.max_body,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "t1", "apiKeys": KEYS, "priority": 0}]}
        await self.put("op/config", config)

    async def put(self, key, value):
        await post(self.store_port, "/standin/put", {"key": key, "value": json.dumps(value)})

    async def add_engine(self):
        self.engine_count += 1
        name = f"e{self.engine_count}"
        self.software[name] = self.versions[self.engine_count % len(self.versions)]
        port = free_port()
        command = [
            f"{self.build}/standin_sealed_engine", "--listen", f"127.0.0.1:{port}",
            "--instance", name, "--events", "12", "--gap-ms", "15", "--work-ms", "10",
            "--software", self.software[name]]
        command += self.crash_options
        process = Process(self, name, command)
        await process.start()
        self.engines[name] = (process, port)
        if not self.crash_options:
            self.proxies[name] = self.engine_proxy(port)
            await self.proxies[name].start()
        await post_soon(port, "/standin/fault", {"clear": True})
        await self.register(name, "ready")

    async def register(self, name, state):
        proxy = self.proxies.get(name)
        port = proxy.port if proxy else self.engines[name][1]
        await self.put(f"servers/{name}", {
            "service": "s", "address": f"127.0.0.1:{port}", "zone": "z",
            "slots": self.slots, "state": state, "sequence": 1,
            "version": self.software[name]})

    async def retire(self, name):
        """An engine says that it leaves, serves on for a while and ends."""
        # Out of the list first, so that no other fault chooses it.
        process, _ = self.engines.pop(name)
        await self.register(name, "draining")
        await asyncio.sleep(DRAIN_MS / 1000 + 2)
        await post(self.store_port, "/standin/remove", {"key": f"servers/{name}"})
        process.signal(signal.SIGTERM)
        await process.end(2)

    async def add_gateway(self, name):
        proxy = Proxy(self.store_port)
        await proxy.start()
        self.proxies[name] = proxy
        callers = free_port()
        settings = {
            "role": "gateway", "instance": name, "data_centre": "z", "region": "r",
            "peers": f"127.0.0.1:{free_port()}", "operators": f"127.0.0.1:{free_port()}",
            "peer_secret": SECRET, "platform": {"store": [f"127.0.0.1:{proxy.port}"]},
            "gateway": {"callers": f"127.0.0.1:{callers}", "retry_ratio": 0.5,
                        "instance_drain_ms": DRAIN_MS,
                        "stop_grace_s": self.grace_s, "descriptors": 1024,
                        "memory_mb": self.memory_mb}}
        self.settings[name] = settings
        self.write_settings(name)
        process = Process(self, name, [
            f"{self.build}/dogwoodvaled", "--settings", str(self.folder / f"{name}.json")])
        await process.start()
        self.gateways[name] = (process, callers)

    def write_settings(self, name):
        path = self.folder / f"{name}.json"
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(self.settings[name]))
        os.replace(fresh, path)

    async def heal(self):
        """Ends every fault and brings every process back."""
        for proxy in self.proxies.values():
            proxy.heal()
        await post(self.store_port, "/standin/fault", {"clear": True})
        for process, port in list(self.engines.values()):
            if process.paused:
                process.signal(signal.SIGCONT)
            if not process.is_up():
                await process.start()
            await post_soon(port, "/standin/fault", {"clear": True})
        for process, _ in self.gateways.values():
            if process.paused:
                process.signal(signal.SIGCONT)
            if not process.is_up():
                await process.start()
        self.note("healed")

    async def stop(self):
        everything = [p for p, _ in self.gateways.values()]
        everything += [p for p, _ in self.engines.values()] + [self.store]
        for process in everything:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in everything:
            await process.end(self.grace_s + 2)
        for proxy in self.proxies.values():
            await proxy.stop()
        (self.folder / "events.log").write_text("\n".join(self.events) + "\n")
