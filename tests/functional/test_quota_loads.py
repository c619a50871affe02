"""Check what part of a quota is usable, in virtual time over many hosts."""

import pytest

from tests.lib.quota_builders import account, quota_bounds
from tests.lib.quota_world import QuotaWorld
from tests.lib.virtual_loop import run_virtual

_SECONDS = 30.0


def _play(
    hosts: int,
    used: int,
    rate: float,
    load: float,
    moves_every: float | None = None,
    overshoot: float = 0.1,
) -> QuotaWorld:
    """Send ``load`` times the quota through some of the hosts."""
    found = account(per_second=rate)
    world = QuotaWorld(quota_bounds(overshoot), found)

    async def run() -> None:
        await world.start(hosts, settle=30.0)
        names = [f"h{number}" for number in range(used)]
        await world.load(found, rate * load, _SECONDS, names, moves_every)
        await world.stop()

    run_virtual(run())
    assert world.worst_excess(found) <= 0.0
    return world


@pytest.mark.parametrize("rate", [20.0, 100.0])
@pytest.mark.parametrize("overshoot", [0.0, 0.1])
@pytest.mark.parametrize(("used", "moves_every"), [(1, None), (80, None), (80, 3.0)])
def test_the_limit_is_usable(
    used: int, moves_every: float | None, rate: float, overshoot: float
) -> None:
    world = _play(80, used, rate, 1.5, moves_every, overshoot)
    # The bucket is full at the start, and holds the tokens of a second.
    assert len(world.admitted) >= 0.95 * rate * (_SECONDS + 1.0)


@pytest.mark.parametrize("rate", [20.0, 100.0])
@pytest.mark.parametrize(("used", "moves_every"), [(1, None), (80, None), (80, 3.0)])
def test_nothing_is_refused_below_the_limit(
    used: int, moves_every: float | None, rate: float
) -> None:
    world = _play(80, used, rate, 0.7, moves_every)
    assert world.refusals() == 0
