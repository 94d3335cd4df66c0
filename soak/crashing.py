"""Requests end each engine that runs them, and come again and again."""

import asyncio
import contextlib
import time

from check import check, runs_of
from site_processes import post

CRASH_BODY = "ends whoever runs it"
CRASH_ROUTE = "/note/stream/"
CRASH_PART, FIRST_PART = "bad", "f1"
ENGINES, GATEWAYS = 10, 4
# By then each gateway in touch has heard what the others saw.
CONTACT_S = 3
# Runs of it that a fleet may still begin after that.
MOST_LATE = 3
SERVED_SHARE = 0.95


class CrashPlay:
    """One caller's request, always the same."""

    OPTIONS = ("--crash-body", CRASH_BODY)
    # Ends after which it has to be known.
    KNOWN_ENDS = 3

    def __init__(self, site, callers, rng):
        self.site, self.callers, self.rng = site, callers, rng
        self.tries, self.ends = [], []
        self.replacing = set()

    async def run(self, seconds):
        """Sends the request at gateways drawn at random until the time is up."""
        supervising = asyncio.create_task(self._supervise())
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            name = self.rng.choice(sorted(self.site.gateways))
            self.tries.append(await self._try(name))
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
        supervising.cancel()
        # Engines that start after the site has stopped would outlive the play.
        await asyncio.gather(*self.replacing, return_exceptions=True)

    def _try(self, name):
        return self.callers.once(name, CRASH_ROUTE, CRASH_BODY.encode())

    async def _supervise(self):
        """Replaces engines that have ended, as another incarnation elsewhere."""
        while True:
            for name, (process, _) in list(self.site.engines.items()):
                if not process.is_up():
                    self.ends.append(time.monotonic())
                    self.site.note(f"{name} has ended")
                    del self.site.engines[name]
                    task = asyncio.create_task(self._replace(name))
                    self.replacing.add(task)
                    task.add_done_callback(self.replacing.discard)
            await asyncio.sleep(0.01)

    async def _replace(self, name):
        await asyncio.sleep(0.5)
        await post(self.site.store_port, "/standin/remove", {"key": f"servers/{name}"})
        await asyncio.sleep(self.rng.uniform(0.5, 1.5))
        # It may end at once: the request comes again meanwhile.
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            await self.site.add_engine()

    def findings(self):
        """What broke, one a line."""
        if len(self.ends) < 3:
            return [f"the play shows nothing: {len(self.ends)} engines ended"]
        findings = check(self.site, self.callers)
        runs = runs_of(self.site)
        known = self.ends[min(self.KNOWN_ENDS, len(self.ends)) - 1] + CONTACT_S
        late = sum(runs[t.id] for t in self.tries if t.sent > known)
        if late > MOST_LATE:
            findings.append(f"{late} runs begin after {self.KNOWN_ENDS} ends are known")
        refused = sum(1 for a in self.callers.answers if b'"quarantined"' in a.body)
        if refused:
            findings.append(f"{refused} requests of others are quarantined")
        others = [a for a in self.callers.answers if a.sent > known]
        served = sum(1 for a in others if a.status == 200 and a.whole)
        if not others or served < SERVED_SHARE * len(others):
            findings.append(f"{served} of {len(others)} others served once it is known")
        return findings

    def summary(self):
        return f"{len(self.tries)} tries, {len(self.ends)} engines ended; {self.callers.summary()}"


class PartPlay(CrashPlay):
    """Requests that share one part of their prompts, no two alike. Others share their
    caller and all other parts."""

    OPTIONS = ("--crash-part", CRASH_PART)
    KNOWN_ENDS = 5

    def __init__(self, site, callers, rng):
        super().__init__(site, callers, rng)
        callers.shared_parts = f"{FIRST_PART}:100,50a:40"

    def _try(self, name):
        body = f"note {len(self.tries)}".encode()
        return self.callers.once(name, CRASH_ROUTE, body, f"{FIRST_PART}:100,{CRASH_PART}:40")
