"""Test that the service time of plain servers is learned from noisy responses."""

import random

import pytest

from gooseberrydeal._internal.policy.speeds.service_time import (
    ServiceTime,
    UsualServiceTime,
)

SLOTS = 6


def observe(
    server: ServiceTime, seconds: float, count: int, seed: int, now: float = 0.0
) -> float:
    """Add responses about 0.5 s apart, 15% of which take 2.5 times as long."""
    rng = random.Random(seed)
    for _ in range(count):
        now += rng.uniform(0.35, 0.65)
        factor = 2.5 if rng.random() < 0.15 else 1.0
        requests = rng.randint(1, 12)
        queue = max(1.0, requests / SLOTS)
        noise = rng.uniform(0.95, 1.05)
        server.observe(seconds * factor * queue * noise, requests, SLOTS, 1.0, now)
    return now


@pytest.mark.parametrize("seed", range(5))
def test_times_are_within_a_tenth_after_50_responses(seed: int) -> None:
    usual = UsualServiceTime()
    servers = [ServiceTime(usual) for _ in range(4)]
    for number, server in enumerate(servers):
        observe(server, 0.12 if number == 0 else 0.0686, 50, seed * 10 + number)
    assert usual.seconds == pytest.approx(0.0686, rel=0.1)
    assert servers[0].relative(30.0) == pytest.approx(0.12 / 0.0686, rel=0.1)
    assert servers[1].relative(30.0) == pytest.approx(1.0, rel=0.1)


def fleet(seed: int) -> tuple[UsualServiceTime, list[ServiceTime]]:
    """Return four servers that have been observed, with a service time of 45 ms."""
    usual = UsualServiceTime()
    servers = [ServiceTime(usual) for _ in range(4)]
    for number, server in enumerate(servers):
        observe(server, 0.045, 40, seed * 10 + number)
    return usual, servers


@pytest.mark.parametrize("seed", range(5))
def test_half_of_the_gap_is_closed_10_responses_after_a_server_slows(seed: int) -> None:
    server = fleet(seed)[1][0]
    now = observe(server, 0.09, 10, seed + 100, 30.0)
    assert server.relative(now) >= 1.5


def test_new_and_restarted_servers_have_the_usual_time() -> None:
    assert ServiceTime(UsualServiceTime()).relative(0.0) == 1.0
    usual, servers = fleet(1)
    assert ServiceTime(usual).relative(30.0) == 1.0
    now = observe(servers[0], 0.2, 50, 2, 30.0)
    assert servers[0].relative(now) > 3.0
    servers[0].clear()
    assert servers[0].relative(now) == 1.0


def test_an_odd_server_is_not_taken_for_more_than_4_times_as_fast() -> None:
    server = fleet(1)[1][0]
    now = observe(server, 0.0001, 20, 2, 30.0)
    assert server.relative(now) == 0.25


def test_small_differences_do_not_keep_requests_from_idle_servers() -> None:
    # With responses within a millisecond, one of six servers got all requests.
    usual = UsualServiceTime()
    servers = [ServiceTime(usual) for _ in range(4)]
    for number, server in enumerate(servers):
        observe(server, 0.001 * (1 + number), 40, number)
    assert [server.relative(30.0) for server in servers] == [1.0] * 4
