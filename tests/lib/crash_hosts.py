"""Run a scenario with hosts that share crash evidence, on a virtual clock."""

import asyncio
from collections.abc import Awaitable, Callable

from tests.lib.crash_world import CrashHost, CrashNetwork
from tests.lib.fake_metadata_store import StoreData
from tests.lib.virtual_loop import run_virtual

Scenario = Callable[[StoreData, CrashNetwork, list[CrashHost]], Awaitable[None]]


def run_hosts(scenario: Scenario, hosts: int = 3, domains: int = 1) -> None:
    async def run() -> None:
        data, network = StoreData(), CrashNetwork()
        started = [
            CrashHost(f"h{n}", data, network, f"d{n % domains}").start()
            for n in range(hosts)
        ]
        await asyncio.sleep(0.5)
        try:
            await scenario(data, network, started)
        finally:
            for host in started:
                await host.kill()

    run_virtual(run())
