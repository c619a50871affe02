"""Check that an engine is ordered again after the task of its owner has failed."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from tests.lib.owner_world import (
    OwnerHost,
    check_orders,
    new_engine,
    new_store_data,
    report_demand,
)
from tests.lib.routing_builders import copy_key
from tests.lib.virtual_loop import run_virtual


def _fail_after(call: Callable[..., Awaitable[Any]], count: int) -> Any:
    """Return a function that raises after each of its first calls has ended."""
    left = [count]

    async def call_and_fail(*arguments: Any) -> Any:
        result = await call(*arguments)
        if left[0]:
            left[0] -= 1
            raise ValueError("unexpected")
        return result

    return call_and_fail


@pytest.mark.parametrize("count", [1, 4])
@pytest.mark.parametrize("name", ["order", "report"])
def test_an_owner_whose_task_fails_gives_orders_again(name: str, count: int) -> None:
    # Starved: an engine whose owner had failed got no orders while its lease went on.
    async def scenario() -> None:
        engine = new_engine(slots=2)
        host = OwnerHost("h1", new_store_data(), engine)
        failing = _fail_after(getattr(host.orders, name), count)
        setattr(host.orders, name, failing)
        host.start()
        await report_demand([host], 30.0, first=0)
        host.report_copies([copy_key("last")])
        await asyncio.sleep(2.0)
        assert host.is_owner
        assert copy_key("last") in engine.copies
        assert engine.crashes == 0
        check_orders(engine)
        await host.kill()

    run_virtual(scenario())
