"""Test that speeds are learned from a seeded load with slow moments as noise."""

import statistics

import pytest

from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from gooseberrydeal._internal.models.routing.speed_observation import SpeedObservation
from gooseberrydeal._internal.policy.speeds.default_speed import DEFAULT_ENGINE_SPEED
from tests.lib.speed_load import SpeedLoad, scaled

FAST = EngineSpeed(1 / 38_400, 0.00523, 0.00002, 1_024.0)
UNEVEN = EngineSpeed(1 / 38_100, 0.00443, 0.00002, 2_048.0)
EARLIER = EngineSpeed(1 / 19_200, 0.0095, 0.00002, 2_048.0)
UNEVEN_FLEET = [scaled(UNEVEN, factor) for factor in (0.55, 1.2, 1.2, 1.2) * 5]
# Responses per second of a single host of 80, of all engines of a service.
HOST_RATE = 4.6


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("speeds", "event_tokens", "per_second"),
    [([FAST] * 20, 7, 160.0), (UNEVEN_FLEET, 8, 160.0), ([EARLIER] * 20, 2, 80.0)],
)
def test_speeds_are_within_a_tenth_after_50_responses(
    speeds: list[EngineSpeed], event_tokens: int, per_second: float, seed: int
) -> None:
    load = SpeedLoad(speeds, event_tokens, per_second, seed)
    load.run_responses(50)
    for number in range(len(speeds)):
        assert load.ratios(number) == pytest.approx((1.0, 1.0), abs=0.1)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_half_of_the_gap_is_closed_10_responses_after_a_server_slows(seed: int) -> None:
    # One response a second of each engine: more at once would look like a slow moment.
    load = SpeedLoad([FAST] * 20, 7, 20.0, seed)
    load.run_responses(20)
    load.change_speed(0, 0.5)
    answered = load.responses[0]
    while load.responses[0] < answered + 10:
        load.run(0.05)
    prefill, step = load.ratios(0)
    assert prefill >= 0.75
    assert step >= 0.75


def test_new_and_restarted_servers_start_at_the_median_of_their_service() -> None:
    load = SpeedLoad(UNEVEN_FLEET, 8, 160.0, 4)
    load.run_responses(20)
    new = load.new_server(99).current(load.now)
    slow = load.learned[0]
    assert slow.current(load.now).step_seconds > 1.5 * new.step_seconds
    steps = [item.current(load.now).step_seconds for item in load.learned]
    assert new.step_seconds == pytest.approx(statistics.median(steps), rel=0.1)
    slow.clear()
    assert slow.current(load.now) == new


def test_the_speed_of_a_service_settles_within_seconds_at_one_host() -> None:
    load = SpeedLoad([FAST] * 30, 7, HOST_RATE, 5)
    assert load.service.speed(0.0) == DEFAULT_ENGINE_SPEED
    load.run(5.0)
    found = load.service.speed(load.now)
    assert found.step_seconds == pytest.approx(FAST.step_seconds, rel=0.2)
    load.run(15.0)
    found = load.service.speed(load.now)
    assert found.step_seconds == pytest.approx(FAST.step_seconds, rel=0.1)
    assert found.prompt_tokens_per_second == pytest.approx(38_400, rel=0.25)


def test_the_longest_step_is_learned() -> None:
    for speed, event_tokens in ((FAST, 7), (EARLIER, 2)):
        load = SpeedLoad([speed] * 20, event_tokens, 160.0, 6)
        load.run_responses(50)
        longest = load.service.speed(load.now).longest_step_seconds
        assert longest == pytest.approx(speed.longest_step_seconds, rel=0.25)


def test_an_owner_that_falls_silent_is_replaced_by_own_observations() -> None:
    load = SpeedLoad([FAST] * 20, 7, 160.0, 7)
    load.run_responses(40)
    server = load.learned[0]
    own = server.current(load.now)
    server.apply_owner(scaled(FAST, 0.5), load.now)
    assert server.current(load.now).step_seconds == pytest.approx(0.01046)
    assert server.current(load.now + 6.0).step_seconds < 1.2 * own.step_seconds
    assert server.current(load.now + 70.0).step_seconds < 1.2 * own.step_seconds


def test_a_mistaken_owner_diverts_the_load_of_one_engine_only() -> None:
    load = SpeedLoad([FAST] * 20, 7, 160.0, 8)
    load.run_responses(20)
    for number in range(1, 6):
        load.learned[number].apply_owner(FAST, load.now)
    load.learned[0].apply_owner(EngineSpeed(1e-6, 1e-4, 0.0, 65_536.0), load.now)
    wrong = load.learned[0].current(load.now)
    assert wrong.step_seconds >= FAST.step_seconds / 10
    usual = load.service.speed(load.now + 1.0)
    assert usual.step_seconds == pytest.approx(FAST.step_seconds, rel=0.1)


def test_two_slow_streams_are_a_reason_to_wait_elsewhere_for_a_moment() -> None:
    load = SpeedLoad([FAST] * 20, 7, 160.0, 10)
    load.run_responses(30)
    server = load.learned[0]
    now = load.now + 2.0
    slow = SpeedObservation(0, 0.0, 4, 3 * FAST.step_seconds, 0.0, 0.0)
    server.observe(slow, now)
    assert server.recent_slowdown(now) == 1.0
    server.observe(slow, now + 0.1)
    assert server.recent_slowdown(now + 0.1) == pytest.approx(3.0, rel=0.1)
    assert server.recent_slowdown(now + 1.0) == 1.0


def test_observations_are_reported_once_and_are_bounded() -> None:
    load = SpeedLoad([FAST] * 2, 7, 16.0, 9)
    load.run_responses(20)
    assert 0 < len(load.learned[0].take_unreported()) <= 8
    assert load.learned[0].take_unreported() == ()
