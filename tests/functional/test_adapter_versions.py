"""Check which adapter version serves requests after a new one is declared."""

import asyncio

from tests.lib.dispatch_world import VERSION_BOUND_SECONDS, DispatcherHarness
from tests.lib.routing_builders import copy_key
from tests.lib.virtual_loop import run_virtual


def test_the_old_version_serves_until_the_new_one_is_ready() -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.set_ready_copies(copy_key("a1", 1))
        assert await harness.assigned_copy() == copy_key("a1", 1)
        harness.declare_version(2)
        assert await harness.assigned_copy() == copy_key("a1", 1)
        harness.set_ready_copies(copy_key("a1", 1), copy_key("a1", 2))
        assert await harness.assigned_copy() == copy_key("a1", 2)

    run_virtual(scenario())


def test_the_old_version_serves_no_request_close_to_the_version_bound() -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.set_ready_copies(copy_key("a1", 1))
        harness.declare_version(2)
        bound_at = harness.now() + VERSION_BOUND_SECONDS
        while harness.now() < bound_at:
            harness.set_ready_copies(copy_key("a1", 1))
            arrived_at = harness.now()
            copy = await harness.assigned_copy()
            if copy == copy_key("a1", 1):
                assert arrived_at < bound_at - VERSION_BOUND_SECONDS / 2
            await asyncio.sleep(0.2)
        assert harness.load_requests

    run_virtual(scenario())
