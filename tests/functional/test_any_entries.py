"""Search for a sequence of events after which an engine's owner exceeds its slots."""

import asyncio
from collections.abc import Awaitable
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tests.lib.entry_world import EntryWorld
from tests.lib.fake_engine_orders import LOAD_SECONDS
from tests.lib.routing_builders import copy_key
from tests.lib.virtual_loop import VirtualLoop

_ADAPTERS = st.sampled_from(["a1", "a2", "a3", "a4"])
_AGES = st.integers(min_value=0, max_value=4)
_SECONDS = st.sampled_from([0.02, 0.1, 0.3, 1.2, 3.0])


class EngineOwnerMachine(RuleBasedStateMachine):
    """Order loads, write and read entries, and lose messages, in any order.

    LIMIT: an owner took an entry's list as the state of now and ordered too many loads.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.world: EntryWorld

    def run(self, action: Awaitable[Any]) -> Any:
        """Run an action in virtual time, and what follows from it at once."""
        asyncio.set_event_loop(self.loop)
        return self.loop.run_until_complete(action)

    @initialize(
        slots=st.integers(min_value=1, max_value=2),
        lag=st.sampled_from([0.0, 0.1, 0.3]),
    )
    def start(self, slots: int, lag: float) -> None:
        async def action() -> None:
            self.world = EntryWorld(slots, lag)
            await asyncio.sleep(1.0)

        self.run(action())

    @rule(adapters=st.lists(_ADAPTERS, max_size=2, unique=True))
    def request(self, adapters: list[str]) -> None:
        """Let requests wait for adapters, or for none any more."""

        async def action() -> None:
            self.world.request([copy_key(name) for name in adapters])
            await asyncio.sleep(0.01)

        self.run(action())

    @rule(seconds=_SECONDS)
    def wait(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    @rule(adapter=_ADAPTERS)
    def write_an_entry_during_a_load(self, adapter: str) -> None:
        async def action() -> None:
            self.world.request([copy_key(adapter)])
            await asyncio.sleep(LOAD_SECONDS / 2)
            self.world.write_entry()
            self.world.request([])

        self.run(action())

    @rule()
    def write_entry(self) -> None:
        async def action() -> None:
            self.world.write_entry()

        self.run(action())

    @rule(age=_AGES)
    def read_entry(self, age: int) -> None:
        async def action() -> None:
            self.world.read_entry(age)
            await asyncio.sleep(0.01)

        self.run(action())

    @rule()
    def lose_an_answer(self) -> None:
        self.world.orders.lost_answers = 1

    @rule()
    def delay_an_order(self) -> None:
        self.world.orders.delayed_orders = 1

    @rule(is_unreachable=st.booleans())
    def change_the_link(self, is_unreachable: bool) -> None:
        self.world.orders.is_unreachable = is_unreachable

    @rule()
    def restart_the_engine(self) -> None:
        async def action() -> None:
            self.world.restart_engine()

        self.run(action())

    @rule(host=st.sampled_from(["h1", "h2"]), age=_AGES)
    def replace_the_owner(self, host: str, age: int) -> None:
        """Restart the owner's host, or let another one take over."""

        async def action() -> None:
            self.world.replace_owner(host, age)
            await asyncio.sleep(0.01)

        self.run(action())

    @invariant()
    def no_load_exceeds_the_slots(self) -> None:
        assert self.world.engine.crashes == 0

    def teardown(self) -> None:
        self.world.stop()
        self.run(asyncio.sleep(0.01))
        self.loop.close()
        asyncio.set_event_loop(None)


TestEngineOwner = EngineOwnerMachine.TestCase
TestEngineOwner.settings = settings(max_examples=200)
