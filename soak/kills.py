"""All gateways are killed at once beside two software versions, while engines pause."""

import asyncio
import time

from check import check
from site_processes import post

ENGINES, GATEWAYS = 4, 3
PATIENCE_S = 9
# Of a stream, 15 ms apart.
LENGTHS = (60, 300)
# Reports and their copy in the store take less than this.
KEPT_S = 0.8
# What is left of a caller's time in which its stream is to go on.
LEFT_S = 2
GOES_ON_SHARE = 0.9
ENOUGH = 10


class KillPlay:
    def __init__(self, site, callers, rng):
        self.site, self.callers, self.rng = site, callers, rng
        # (when all gateways were killed, when they were started again).
        self.kills = []
        site.timeout_ms, site.slots = PATIENCE_S * 1000, 64
        callers.patience_s, callers.connections, callers.tries = PATIENCE_S, 16, 20
        callers.lengths = LENGTHS
        # The older version's engines leave before a kill in every second seed.
        self.replaces = rng.random() < 0.5

    async def run(self, seconds):
        for _, port in self.site.engines.values():
            await post(port, "/standin/fault", {
                "pause_ms": self.rng.choice([0, 500, 1500, 3000]), "pause_every": 9})
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(2, 4))
            if self.replaces:
                await self._replace_oldest()
                await asyncio.sleep(self.rng.uniform(0, 1))
            await self._kill_all()
        await self.site.heal()
        await asyncio.sleep(2)

    async def _replace_oldest(self):
        oldest = min(self.site.engines, key=lambda name: int(name[1:]))
        asyncio.create_task(self.site.retire(oldest))
        await self.site.add_engine()
        self.site.note(f"{oldest} leaves, a newer engine starts")

    async def _kill_all(self):
        processes = [process for process, _ in self.site.gateways.values()]
        self.site.note("all gateways are killed")
        at = time.monotonic()
        await asyncio.gather(*(process.end(0) for process in processes))
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        await asyncio.gather(*(process.start() for process in processes))
        self.kills.append((at, time.monotonic()))

    def _broken(self):
        """(whether it went on) of each stream that a kill broke off and that could."""
        last = {}
        for answer in self.callers.answers:
            if answer.earlier:
                last[answer.first().id] = answer
        for answer in self.callers.answers:
            if answer.id not in last or answer.earlier:
                continue
            kill = next(((at, back) for at, back in self.kills
                         if at - 0.05 <= answer.ended <= at + 0.3), None)
            if kill is None or answer.sent > kill[0] - KEPT_S:
                continue
            taken = last[answer.id]
            until = answer.sent + PATIENCE_S
            is_hit_again = any(kill[1] < at < taken.ended + 0.3 for at, _ in self.kills)
            if kill[1] + LEFT_S < until and not is_hit_again:
                yield taken.status == 200

    def findings(self):
        findings = check(self.site, self.callers)
        broken = list(self._broken())
        # Where engines are replaced, none of a stream's version may be left.
        if (not self.replaces and len(broken) >= ENOUGH
                and sum(broken) < GOES_ON_SHARE * len(broken)):
            findings.append(f"{sum(broken)} of {len(broken)} streams went on after a kill")
        return findings

    def summary(self):
        broken = list(self._broken())
        return (f"{len(self.kills)} kills, {'engines replaced, ' if self.replaces else ''}"
                f"{sum(broken)} of {len(broken)} streams went on after them; "
                f"{self.callers.summary()}")
