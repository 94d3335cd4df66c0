"""Engines say in their answers what they need, and the fleet keeps to it."""

import asyncio
import datetime
import re
import time

from check import check
from site_processes import DRAIN_MS, post

ENGINES, GATEWAYS = 5, 4
WINDOW_S = 4
# From an answer that tells a gateway to the moment from which it is held to it.
KNOWN_S = 0.5
MOST_IN_REST = 2
LINE = re.compile(r"^(\S+)Z .* event=(run|turned_away) id=(\w+)", re.M)


class Stated:
    """What one engine says from one moment on."""

    def __init__(self, engine, **fault):
        self.engine, self.fault, self.at = engine, fault, time.time()


class NeedsPlay:
    def __init__(self, site, callers, rng):
        self.site, self.callers, self.rng = site, callers, rng
        self.limited = self.leaving = self.resting = None

    async def run(self, seconds):
        """Three engines state a rate, that they leave, and rests, until the end."""
        names = self.rng.sample(sorted(self.site.engines), 3)
        rate = f"{self.rng.uniform(0.4, 8):.1f}"
        rest = f"{self.rng.uniform(2, 4):.1f}"
        silent = self.rng.random() < 0.5
        if silent:
            await post(self.site.store_port, "/standin/fault", {"silent": True})
        self.limited = await self._state(names[0], rate_limit=rate)
        self.leaving = await self._state(names[1], leaving=True)
        self.resting = await self._state(names[2], refuse=True, retry_after=rest)
        await asyncio.sleep(seconds)
        if silent:
            await post(self.site.store_port, "/standin/fault", {"clear": True})

    async def _state(self, name, **fault):
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        self.site.note(f"{name} states {fault}")
        stated = Stated(name, **fault)
        await post(self.site.engines[name][1], "/standin/fault", fault)
        return stated

    def _arrivals(self, stated):
        """(time, gateway) of each request that reached the engine since."""
        gateways = {a.id: a.gateway for a in self.callers.answers}
        text = (self.site.folder / f"{stated.engine}.log").read_text(errors="replace")
        found = []
        for at, _, ident in LINE.findall(text):
            when = datetime.datetime.fromisoformat(at + "+00:00").timestamp()
            if when >= stated.at and ident in gateways:
                found.append((when, gateways[ident]))
        return sorted(found)

    @staticmethod
    def _told(arrivals):
        """When each gateway had the first answer that says so, at the latest."""
        told = {}
        for at, gateway in arrivals:
            told.setdefault(gateway, at + 0.1)
        return told

    def _over_rate(self):
        arrivals = self._arrivals(self.limited)
        told = self._told(arrivals)
        counted = [at for at, g in arrivals if at >= told[g] + KNOWN_S]
        most = max((sum(1 for b in counted if a <= b < a + WINDOW_S) for a in counted),
                   default=0)
        allowed = 1.5 * WINDOW_S * float(self.limited.fault["rate_limit"]) + 5
        return f"{most} requests in {WINDOW_S} s, {allowed:.1f} allowed" if most > allowed else None

    def _after_leaving(self):
        arrivals = self._arrivals(self.leaving)
        told = self._told(arrivals)
        late = sum(1 for at, g in arrivals if at > told[g] + DRAIN_MS / 1000)
        return f"{late} requests after it said that it leaves" if late else None

    def _in_rest(self):
        arrivals = self._arrivals(self.resting)
        rest = float(self.resting.fault["retry_after"])
        most = max((sum(1 for b, h in arrivals if h == g and a + KNOWN_S <= b < a + rest)
                    for a, g in arrivals), default=0)
        return f"{most} requests of one gateway in {rest} s of rest" if most > MOST_IN_REST else None

    def findings(self):
        """What broke, one a line."""
        findings = check(self.site, self.callers)
        for name, problem in [("rate", self._over_rate()), ("leaving", self._after_leaving()),
                              ("rest", self._in_rest())]:
            if problem:
                findings.append(f"{name}: {problem}")
        # One that leaves may get nothing more, as what was under way says so too.
        if not self._arrivals(self.limited) or not self._arrivals(self.resting):
            findings.append("the play shows nothing: an engine got no request")
        return findings

    def summary(self):
        counts = [len(self._arrivals(s)) for s in (self.limited, self.leaving, self.resting)]
        return (f"rate {self.limited.fault['rate_limit']}, rest {self.resting.fault['retry_after']}, "
                f"arrived {counts}; {self.callers.summary()}")
