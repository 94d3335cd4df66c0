"""Gateways short of processor time are stopped in turn while engines pause."""

import asyncio
import datetime
import re
import signal
import time

from check import check
from site_processes import post

ENGINES, GATEWAYS = 4, 3
GRACE_S = 8
PATIENCE_S = 15
# The rule's own figures: until when a request is excused if its engine still works in
# the last part of the grace.
SENT_S = 3
LAST_PART = 5 / 6
# One slice of a processor in so many.
WEAKEST = 20
SLICE_S = 0.005
LINE = re.compile(r"^(\S+)Z .* event=(?:run|run_ended) id=(\w+) (?:path=\S+|end=(\w+))", re.M)


async def weaken(process, weakness):
    """Gives a process one slice of its processor in so many."""
    while weakness > 1:
        await asyncio.sleep(SLICE_S)
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(SLICE_S * (weakness - 1))
        process.signal(signal.SIGCONT)


class Run:
    """What an engine did for one attempt; the last run of it."""

    def __init__(self, at):
        self.began, self.ended, self.end = at, None, None


class StopPlay:
    OPTIONS = ()

    def __init__(self, site, callers, rng):
        self.site, self.callers, self.rng = site, callers, rng
        # Wall clock against the callers' own.
        self.offset = time.time() - time.monotonic()
        self.stops = {}
        # Engines pause: every second seed has one engine of each version, so that no
        # other may go on with its streams.
        self.is_alone = rng.random() < 0.5
        site.versions = [f"v{i}" for i in range(ENGINES)] if self.is_alone else ["v1"]
        site.grace_s, site.timeout_ms, site.slots = GRACE_S, PATIENCE_S * 1000, 64
        callers.patience_s, callers.connections = PATIENCE_S, 24
        callers.lengths = (8, 400)
        self.weakness = rng.choice([1, 10, WEAKEST])

    async def run(self, seconds):
        for _, port in self.site.engines.values():
            await post(port, "/standin/fault", {
                "pause_ms": self.rng.choice([0, 1500]), "pause_every": 5})
        weak = [asyncio.create_task(weaken(process, self.weakness))
                for process, _ in self.site.gateways.values()]
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            names = self.rng.sample(sorted(self.site.gateways), self.rng.randrange(1, 3))
            await asyncio.gather(*(self._stop(name) for name in names))
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        for task in weak:
            task.cancel()
        await self.site.heal()

    async def _stop(self, name):
        process, _ = self.site.gateways[name]
        self.site.note(f"SIGTERM {name}")
        self.stops.setdefault(name, []).append(time.monotonic())
        process.signal(signal.SIGTERM)
        # Not end(), which would take it off its share of the processor.
        try:
            await asyncio.wait_for(process.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.site.findings.append(f"{name} was still there at the end of its grace")
            await process.end(0)
        await process.start()

    def _runs(self):
        runs = {}
        for log in self.site.folder.glob("e*.log"):
            for at, ident, end in LINE.findall(log.read_text(errors="replace")):
                when = datetime.datetime.fromisoformat(at + "+00:00").timestamp() - self.offset
                if end and ident in runs:
                    runs[ident].ended, runs[ident].end = when, end
                elif not end:
                    runs[ident] = Run(when)
        return runs

    def _stop_of(self, answer):
        """When the gateway of an answer that ended around a stop was told to stop."""
        return next((at for at in self.stops.get(answer.gateway, [])
                     if at <= answer.ended <= at + GRACE_S + 1), None)

    def _is_excused(self, answer, run):
        at = self._stop_of(answer)
        if run.end == "crashed" or answer.ended - answer.sent > PATIENCE_S - 0.5:
            return True
        if at is None:
            return False
        last = at + LAST_PART * GRACE_S
        return answer.sent <= at + SENT_S and (run.ended is None or run.ended >= last)

    def _cut(self):
        """(answer, run) of each that an engine ran and that ended without its end."""
        runs = self._runs()
        return [(a, runs[a.id]) for a in self.callers.answers
                if not a.whole and a.id in runs and a.status in (0, 200)
                and a.ended > a.sent]

    def findings(self):
        findings = check(self.site, self.callers)
        for answer, run in self._cut():
            if not self._is_excused(answer, run):
                at = self._stop_of(answer)
                since = f"{answer.ended - at:.3f} s after SIGTERM" if at else "without a stop"
                findings.append(
                    f"{answer.id} {answer.route} at {answer.gateway}: lost {since}, "
                    f"{answer.ended - answer.sent:.3f} s after it was sent, "
                    f"{len(answer.events())} of {answer.length} events, its run: {run.end}")
        return findings

    def summary(self):
        cut = self._cut()
        excused = sum(1 for a, r in cut if self._is_excused(a, r))
        ready = sum(1 for _, r in cut if r.end == "complete")
        return (f"{sum(map(len, self.stops.values()))} stops, 1/{self.weakness} of a core, "
                f"{'one engine' if self.is_alone else 'all engines'} a version, "
                f"{len(cut)} cut, {excused} excused, of {ready} the engine had ended; "
                f"{self.callers.summary()}")
