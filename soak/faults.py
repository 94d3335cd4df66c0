"""Faults in series that overlap, drawn from one seed."""

import asyncio
import signal

from site_processes import GRACE_S, post


class Faults:
    def __init__(self, site, rng):
        self.site, self.rng = site, rng
        self.kinds = [
            self.slow_link, self.reset_links, self.silence, self.one_way, self.refuse,
            self.store_busy, self.store_forgets, self.pause_gateway, self.kill_gateway,
            self.stop_gateway, self.kill_engine, self.pause_engine, self.engine_fails,
            self.configure, self.config_storm, self.retire_engine, self.settings_change,
        ]

    async def run(self, seconds):
        """Starts faults until the time is up, and waits for those under way."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        running = []
        while loop.time() < end:
            kind = self.rng.choice(self.kinds)
            self.site.note(f"fault {kind.__name__}")
            running.append(asyncio.create_task(self._guard(kind)))
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
        await asyncio.gather(*running)

    async def _guard(self, kind):
        try:
            await kind()
        except (OSError, asyncio.TimeoutError) as error:
            # The control route of a process that another fault holds down.
            self.site.note(f"fault {kind.__name__} not played: {error!r}")

    def proxy(self):
        return self.rng.choice(list(self.site.proxies.values()))

    def gateway(self):
        return self.rng.choice(list(self.site.gateways.items()))

    def engine(self):
        return self.rng.choice(list(self.site.engines.items()))

    async def hold(self):
        await asyncio.sleep(self.rng.uniform(0.2, 2.5))

    async def slow_link(self):
        proxy = self.proxy()
        proxy.delay = self.rng.uniform(0.01, 0.3)
        await self.hold()
        proxy.delay = 0

    async def reset_links(self):
        self.proxy().reset_all()

    async def silence(self):
        proxy = self.proxy()
        proxy.silent_there = proxy.silent_back = True
        await self.hold()
        proxy.silent_there = proxy.silent_back = False

    async def one_way(self):
        proxy = self.proxy()
        way = self.rng.choice(["silent_there", "silent_back"])
        setattr(proxy, way, True)
        await self.hold()
        setattr(proxy, way, False)

    async def refuse(self):
        proxy = self.proxy()
        proxy.refuses = True
        proxy.reset_all()
        await self.hold()
        proxy.refuses = False

    async def store_busy(self):
        fault = self.rng.choice(["busy", "silent"])
        await post(self.site.store_port, "/standin/fault", {fault: True})
        await self.hold()
        await post(self.site.store_port, "/standin/fault", {"clear": True})

    async def store_forgets(self):
        await post(self.site.store_port, "/standin/fault", {"forget": True})

    async def pause_gateway(self):
        await self._pause(self.gateway()[1][0])

    async def pause_engine(self):
        await self._pause(self.engine()[1][0])

    async def _pause(self, process):
        process.signal(signal.SIGSTOP)
        await self.hold()
        process.signal(signal.SIGCONT)

    async def kill_gateway(self):
        await self._kill(self.gateway()[1][0])

    async def kill_engine(self):
        await self._kill(self.engine()[1][0])

    async def _kill(self, process):
        if not process.is_up():
            return
        process.signal(signal.SIGKILL)
        await process.process.wait()
        await self.hold()
        if not process.is_up():
            await process.start()

    async def stop_gateway(self):
        name, (process, _) = self.gateway()
        if not process.is_up() or process.paused:
            return
        self.site.note(f"SIGTERM {name}")
        process.signal(signal.SIGTERM)
        # Others may pause it meanwhile; only the soak's own end is judged.
        await process.end(GRACE_S + 4)
        if not process.is_up():
            await process.start()

    async def engine_fails(self):
        _, (_, port) = self.engine()
        fault = self.rng.choice([{"refuse": True}, {"error": True}, {"hang": True},
                                 {"skip": True}, {"no_proof": True}, {"crash_after": 4}])
        await post(port, "/standin/fault", fault)
        await self.hold()
        await post(port, "/standin/fault", {"clear": True})

    async def configure(self):
        await self.site.configure()

    async def config_storm(self):
        for _ in range(self.rng.randrange(3, 8)):
            await self.site.configure()
            await asyncio.sleep(0.1)

    async def retire_engine(self):
        if len(self.site.engines) < 2:
            await self.site.add_engine()
        name, _ = self.engine()
        await self.site.add_engine()
        await self.site.retire(name)

    async def settings_change(self):
        name, (process, _) = self.gateway()
        settings = self.site.settings[name]["gateway"]
        settings["retry_extra"] = self.rng.randrange(5, 50)
        self.site.write_settings(name)
        if self.rng.random() < 0.5:
            process.signal(signal.SIGHUP)
