"""Real processes on loopback for the benchmarks; standard library only."""

import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERTZ = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def get(address, path, body=None, timeout=5):
    """GETs JSON, or POSTs when there is a body."""
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(
            f"http://{address}{path}", data, timeout) as answer:
        return json.loads(answer.read() or b"{}")


class Process:
    """One process that the benchmark started."""

    def __init__(self, name, command, log):
        self.name = name
        self.log = log
        with open(log, "ab") as out:
            self.child = subprocess.Popen(
                command, stdout=out, stderr=out, stdin=subprocess.DEVNULL)

    def cpu_seconds(self):
        fields = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text()
        fields = fields.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / HERTZ

    def resident_kib(self):
        statm = pathlib.Path(f"/proc/{self.child.pid}/statm").read_text()
        return int(statm.split()[1]) * PAGE_BYTES / 1024

    def end(self):
        self.child.send_signal(signal.SIGTERM)

    def reap(self, limit=20):
        try:
            self.child.wait(limit)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()


class Site:
    """A site written by scripts/make-site, and its processes."""

    def __init__(self, build, directory, site, port, *options):
        self.build = pathlib.Path(build)
        self.directory = pathlib.Path(directory)
        subprocess.run(
            [ROOT / "scripts/make-site", site, directory, "--base-port",
             str(port), "--list", f"127.0.0.1:{port}", *options], check=True)
        self.plan = json.loads((self.directory / "site.json").read_text())
        self.processes = {}

    @property
    def store(self):
        return self.plan["store"][0]

    def edit_settings(self, change):
        """Applies change(settings) to every settings file."""
        for path in (self.directory / "settings").glob("*.json"):
            settings = json.loads(path.read_text())
            change(settings)
            path.write_text(json.dumps(settings, indent=2))

    def spawn(self, name, *command):
        logs = self.directory / "logs"
        logs.mkdir(exist_ok=True)
        process = Process(name, [str(part) for part in command],
                          logs / f"{name}.log")
        self.processes[name] = process
        return process

    def start_platform(self, *options):
        self.spawn("platform", self.build / "standin_platform", "--listen",
                   self.store, "--instances",
                   self.directory / "instances.json", *options)
        time.sleep(0.3)

    def start_backends(self, step=6, model="cheque-reader", batch=16):
        for backend in self.plan["backends"]:
            if backend["kind"] == "model":
                self.spawn(backend["name"], self.build / "standin_engine",
                           "--listen", backend["listen"], "--models", model,
                           "--step-ms", step, "--batch", batch,
                           "--name", backend["name"])
            else:
                self.spawn(backend["name"], self.build / "standin_service",
                           "--listen", backend["listen"])

    def start_daemon(self, name):
        return self.spawn(name, self.build / "dogwoodvaled", "--settings",
                          self.directory / "settings" / f"{name}.json")

    def daemons(self):
        return [i["name"] for i in self.plan["sidecars"] + self.plan["entries"]]

    def start_daemons(self):
        for name in self.daemons():
            self.start_daemon(name)

    def apply(self, path, *options, check=True):
        return subprocess.run(
            [self.build / "dogwoodvalectl", "config", "apply", path,
             "--store", self.store, *options],
            capture_output=True, text=True, check=check)

    def wait_ready(self, limit=30):
        end = time.monotonic() + limit
        for entry in self.plan["entries"]:
            while True:
                try:
                    if get(entry["operators"], "/statusz")["ready"]:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise TimeoutError(entry["name"])
                time.sleep(0.05)

    def callers(self):
        return ",".join(e["callers"] for e in self.plan["entries"])

    def records(self):
        return ",".join(b["listen"] for b in self.plan["backends"])

    def stop(self):
        for prefix in ("entry", "sidecar", ""):
            group = [p for n, p in self.processes.items()
                     if n.startswith(prefix)]
            for process in group:
                process.end()
            for process in group:
                process.reap()
            for process in group:
                self.processes.pop(process.name, None)


def customers(count, services, per_grant=1):
    """A configuration's customers, each with its own key."""
    import hashlib
    made = []
    for i in range(count):
        name = f"customer-{i:05}"
        made.append({
            "name": name,
            "key_hashes": [
                hashlib.sha256(f"key-{name}".encode()).hexdigest()],
            "grants": [{"service": services[i % len(services)],
                        "classes": ["tier-0", "tier-1"]}],
        })
    return made


def synthetic_configuration(customer_count, models=19, tiers=7):
    """A configuration of the letter's shape."""
    services = []
    for m in range(models):
        services.append({
            "name": f"service-{m:02}",
            "kind": "model",
            "models": [{"model": f"model-{m:02}", "version": "1"}],
            "classes": [{
                "name": f"tier-{t}", "tier": t,
                "target": {"first_token_ms": 430 * (t + 1),
                           "between_tokens_ms": 38},
                "idempotent": True, "max_wait_ms": 5000 * (t + 1),
                "budget_ms": 120000, "queue_bound": 1000,
            } for t in range(tiers)],
        })
    return {"services": services,
            "customers": customers(customer_count,
                                   [s["name"] for s in services])}
