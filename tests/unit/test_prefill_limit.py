"""Test how many prompt tokens may wait at engines of several speeds."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from gooseberrydeal._internal.policy.speeds.default_speed import DEFAULT_ENGINE_SPEED
from gooseberrydeal._internal.policy.speeds.prefill_limit import PrefillLimit
from tests.lib.routing_builders import candidate

# A step that reads 1,024 tokens takes 32 ms, 7 of them 224 ms.
SHORT_STEPS = EngineSpeed(1 / 38_400, 0.00523, 0.0, 1_024.0)
LONG_STEPS = EngineSpeed(1 / 38_400, 0.00523, 0.0, 2_048.0)
ROUTE = PrefillLimit(longest_pause=0.3, target_latency=0.515, prompt_tokens=650)


def test_a_queue_that_cannot_make_a_pause_keeps_the_engine_busy_and_no_more() -> None:
    # Held at 558 tokens, half of all requests took over half of their target latency.
    assert ROUTE.pending_tokens(SHORT_STEPS, 7, 1.0) == pytest.approx(3_840, rel=0.01)


def test_long_steps_limit_the_queue_to_one_step_within_the_pause() -> None:
    assert ROUTE.pending_tokens(LONG_STEPS, 7, 1.0) == pytest.approx(1_281, rel=0.01)


def test_a_slow_moment_in_which_pauses_would_occur_limits_the_queue() -> None:
    assert ROUTE.pending_tokens(SHORT_STEPS, 7, 2.5) < 500


def test_engines_of_unknown_speed_are_limited_as_before() -> None:
    # The constants of the code before allowed 558 tokens with 7 tokens per event.
    assert ROUTE.pending_tokens(DEFAULT_ENGINE_SPEED, 7, 1.0) == pytest.approx(558, 0.1)


@given(
    st.floats(0.05, 2.0) | st.just(math.inf),
    st.floats(0.1, 5.0),
    st.integers(0, 20_000),
    st.integers(1, 16),
    st.floats(0.5, 4.0),
)
def test_an_idle_engine_takes_any_prompt_and_no_queue_makes_a_pause(
    pause: float, target: float, prompt: int, event_tokens: int, slowdown: float
) -> None:
    limit = PrefillLimit(pause, target, prompt)
    for speed in (SHORT_STEPS, LONG_STEPS, DEFAULT_ENGINE_SPEED):
        tokens = limit.pending_tokens(speed, event_tokens, slowdown)
        assert tokens > 0
        read_in_step = min(tokens, speed.step_tokens)
        step = speed.step_seconds + speed.prefill_seconds(read_in_step)
        is_longest = speed.step_seconds * event_tokens * slowdown > pause * 0.9
        assert step * event_tokens * slowdown <= pause or tokens == 1.0 or is_longest


def test_requests_are_spread_by_places_and_speed() -> None:
    # A cost per request in seconds would be wrong for engines of another size.
    large = candidate(requests=20.0, batch_size=128, speed=SHORT_STEPS)
    small = candidate(requests=20.0, batch_size=24, speed=SHORT_STEPS)
    slow = candidate(requests=20.0, batch_size=24, speed=LONG_STEPS)
    costs = [item.cost_seconds(0) for item in (large, small, slow)]
    assert costs == sorted(costs)
    assert costs[0] < costs[1] < costs[2]
