"""Test that hosts share the places of engines, the most urgent request first."""

import asyncio
from collections.abc import Callable

import pytest

from tests.lib.shared_engines import DEFERRED, SLOTS, URGENT, SharedEngines
from tests.lib.virtual_loop import run_virtual

# That of an engine in tests/lib/routing_builders.py.
_TOKEN_CAPACITY = 150_000


def _play(
    urgent: float,
    deferred: float,
    *,
    has_places: bool = True,
    tokens: int = 70,
    loses: Callable[[SharedEngines], bool] = lambda world: False,
) -> SharedEngines:
    """Return the world after a burst of 4 s; rates are parts of the capacity."""

    async def play() -> SharedEngines:
        world = SharedEngines(has_places=has_places)
        world.loses = lambda: loses(world)
        await asyncio.sleep(0.3)
        await asyncio.gather(
            world.load(URGENT, [0.4, *[urgent] * 4, 0.4, 0.4, 0.4], tokens),
            world.load(DEFERRED, [deferred] * 5, tokens),
        )
        world.stop()
        return world

    return run_virtual(play())


def test_urgent_requests_get_the_places_of_all_hosts_first() -> None:
    # Guards against requests that wait inside engines, where no rank counts.
    polled, world = _play(0.9, 0.3, has_places=False), _play(0.9, 0.3)
    assert polled.share("urgent", "in_time") < 0.9
    assert world.share("urgent", "in_time") > 0.97
    assert world.share("deferred", "refused") == 0.0
    assert world.most_requests < 2 * SLOTS + 1 < polled.most_requests


@pytest.mark.parametrize("lost", [0.03, 1.0])
def test_lost_messages_make_nothing_worse_than_without_places(lost: float) -> None:
    # Guards against places that are lost, and keepers that are waited for in vain.
    polled = _play(0.9, 0.3, has_places=False)
    world = _play(0.9, 0.3, loses=lambda world: world.rng.random() < lost)
    assert world.share("urgent", "in_time") > polled.share("urgent", "in_time") - 0.05


def test_the_requests_of_all_hosts_fit_into_the_memory_of_an_engine() -> None:
    # Guards against engines that end since their requests exceed their memory. Eight
    # of these requests fit, and engines of ten slots are filled to nine.
    polled = _play(1.5, 0.1, has_places=False, tokens=18_000)
    world = _play(1.5, 0.1, tokens=18_000)
    assert world.most_tokens <= _TOKEN_CAPACITY < polled.most_tokens
