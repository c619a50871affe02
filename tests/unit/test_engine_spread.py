"""Test that many hosts with the same statuses spread requests over engines by speed."""

import pytest

from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from tests.lib.choice_load import least_expected_work, play, router_rule
from tests.lib.speed_load import scaled

FAST = EngineSpeed(1 / 38_400, 0.00523, 0.00002, 1_024.0)
UNEVEN = EngineSpeed(1 / 38_100, 0.00443, 0.00002, 2_048.0)
UNEVEN_FLEET = [scaled(UNEVEN, factor) for factor in (0.55, 1.2, 1.2, 1.2) * 9]
SECONDS = 20.0
# The most requests of an engine relative to the mean, each divided by its speed.
_BOUND = 1.3


@pytest.mark.parametrize(
    ("speeds", "per_second"),
    [
        pytest.param(UNEVEN_FLEET, 410.0, id="uneven-410"),
        pytest.param(UNEVEN_FLEET, 900.0, id="uneven-900"),
        pytest.param([FAST] * 30, 361.0, id="even-361"),
        pytest.param([FAST] * 30, 800.0, id="even-800"),
    ],
)
def test_load_is_proportional_to_speed(
    speeds: list[EngineSpeed], per_second: float
) -> None:
    found = play(router_rule, speeds, per_second, SECONDS, 1)
    assert found.busiest_to_mean < _BOUND
    # Traffic between failure domains is charged for.
    assert found.local_fraction > 0.6


def test_the_lowest_cost_alone_sends_all_hosts_to_the_same_engine() -> None:
    # All hosts read the same status for 130 ms, in which 117 requests arrive.
    lowest = play(least_expected_work, UNEVEN_FLEET, 900.0, 5.0, 1)
    router = play(router_rule, UNEVEN_FLEET, 900.0, 5.0, 1)
    assert lowest.busiest_to_mean > router.busiest_to_mean + 0.2
    assert router.late_fraction < lowest.late_fraction / 10
