"""Check the bound on quotas under any order of faults, in virtual time."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from tests.lib.quota_builders import account, quota_bounds
from tests.lib.quota_world import QuotaWorld
from tests.lib.virtual_loop import VirtualLoop

_HOSTS = 3
_names = st.integers(0, _HOSTS).map("h{}".format)
_pairs = st.tuples(_names, _names).map(frozenset)
_RATE = 10.0
# With little room above the quota, few grants too many exceed the bound.
_OVERSHOOT = 0.04


class QuotaMachine(RuleBasedStateMachine):
    """Send more than the quota to hosts that fail in any order."""

    def __init__(self) -> None:
        super().__init__()
        self._loop = VirtualLoop()
        self._account = account(per_second=_RATE)
        self._world: QuotaWorld
        self._load = 3.0
        self._run(self._start())

    def teardown(self) -> None:
        self._run(self._world.stop())
        self._loop.close()
        assert self._world.worst_excess(self._account) <= 0.0

    @rule(load=st.sampled_from([0.0, 0.5, 3.0, 3.0]))
    def change_load(self, load: float) -> None:
        self._load = load

    @rule(name=_names, requests=st.integers(1, 40), size=st.sampled_from([1.0, 7.0]))
    def requests_to_one(self, name: str, requests: int, size: float) -> None:
        async def send() -> None:
            for _ in range(requests):
                task = self._world.request(name, self._account, size)
                self._world.tasks.start(task, "request")
                await asyncio.sleep(0.01)

        self._run(send())

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.5, 4.0, 6.0, 12.0]))
    def pass_time(self, seconds: float) -> None:
        self._run(asyncio.sleep(seconds))

    @rule(pairs=st.sets(_pairs, max_size=4))
    def cut_hosts(self, pairs: set[frozenset[str]]) -> None:
        self._world.cut = pairs

    @rule(side=st.sets(_names, min_size=1), is_cut_from_store=st.booleans())
    def divide(self, side: set[str], is_cut_from_store: bool) -> None:
        names = {f"h{number}" for number in range(_HOSTS + 1)}
        self._world.cut = {frozenset((a, b)) for a in side for b in names - side}
        for name, host in self._world.hosts.items():
            host.reads_store = name not in side or not is_cut_from_store

    @rule(names=st.sets(_names))
    def cut_from_store(self, names: set[str]) -> None:
        for name, host in self._world.hosts.items():
            host.reads_store = name not in names

    @rule()
    def heal(self) -> None:
        self._world.cut.clear()
        for host in self._world.hosts.values():
            host.reads_store = True

    @rule(name=_names)
    def freeze_or_thaw(self, name: str) -> None:
        async def run() -> None:
            host = self._world.hosts.get(name)
            if host is not None and host.is_frozen:
                self._world.thaw(host)
            elif host is not None:
                host.is_frozen = True

        self._run(run())

    @rule(name=_names)
    def restart(self, name: str) -> None:
        async def run() -> None:
            if name in self._world.hosts:
                await self._world.stop_host(name)
            self._world.start_host(name)

        self._run(run())

    @precondition(lambda self: len(self._world.hosts) > 1)
    @rule(name=_names)
    def stop(self, name: str) -> None:
        if name in self._world.hosts:
            self._run(self._world.stop_host(name))

    @rule(lost=st.floats(0.0, 0.5), doubled=st.floats(0.0, 0.5), late=st.floats(0, 0.5))
    def disturb_datagrams(self, lost: float, doubled: float, late: float) -> None:
        self._world.loss_rate = lost
        self._world.doubled_rate = doubled
        self._world.late_rate = late

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        self._loop.run_until_complete(work)

    async def _start(self) -> None:
        self._world = QuotaWorld(quota_bounds(_OVERSHOOT), self._account)
        await self._world.start(_HOSTS)
        self._world.tasks.start(self._send_to_all(), "load")

    async def _send_to_all(self) -> None:
        """Send the present multiple of the quota to all hosts together."""
        number = 0
        while True:
            await asyncio.sleep(1.0 / (_RATE * (self._load or 1.0)))
            number += 1
            if self._load:
                name = f"h{number % (_HOSTS + 1)}"
                task = self._world.request(name, self._account)
                self._world.tasks.start(task, "request")


TestQuotaBound = QuotaMachine.TestCase
TestQuotaBound.settings = settings(settings.get_profile("ci"), max_examples=30)
