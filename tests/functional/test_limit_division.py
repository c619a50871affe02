"""Check that hosts divide a server's limit while they come, go and are cut off."""

import asyncio
import os
from collections.abc import Awaitable, Callable

import pytest

from tests.lib.limit_world import LimitNetwork
from tests.lib.limits import allowed_requests, most_in_window
from tests.lib.virtual_loop import run_virtual

_LIMIT = 2.0
# More seeds can be run by hand.
_SEEDS = range(int(os.environ.get("LIMIT_SEEDS", "8")))

Scenario = Callable[[LimitNetwork], Awaitable[None]]


def _run(
    scenario: Scenario, hosts: int = 8, per_second: float = 5.0, seed: int = 1
) -> LimitNetwork:
    network: list[LimitNetwork] = []

    async def run() -> None:
        network.append(LimitNetwork(seed))
        for number in range(hosts):
            network[0].start_host(f"h{number}", per_second)
        await asyncio.sleep(1.0)
        try:
            await scenario(network[0])
        finally:
            await network[0].stop()

    run_virtual(run())
    return network[0]


def check_limit(limit: float, hosts: int) -> None:
    """Check what the server gets from its first response on."""

    async def scenario(network: LimitNetwork) -> None:
        network.limit = limit
        await asyncio.sleep(20.0)
        served_before = network.served
        await asyncio.sleep(40.0)
        assert network.served - served_before >= 0.6 * limit * 40.0

    network = _run(scenario, hosts, per_second=80.0 / hosts)
    assert most_in_window(network.counted) <= allowed_requests(limit)


@pytest.mark.parametrize("limit", [0.3, 1.0, 1.8, 2.7, 8.0, 30.0])
@pytest.mark.parametrize("hosts", [2, 8, 60])
def test_all_hosts_together_keep_to_the_limit_from_the_first_window_on(
    limit: float, hosts: int
) -> None:
    check_limit(limit, hosts)


def test_a_host_with_all_the_load_may_use_most_of_the_limit() -> None:
    async def scenario(network: LimitNetwork) -> None:
        network.limit = 4.0
        for name, host in network.hosts.items():
            host.requests_per_second = 20.0 if name == "h3" else 0.05
        await asyncio.sleep(15.0)
        served_before = network.served
        await asyncio.sleep(20.0)
        assert network.served - served_before >= 0.5 * 4.0 * 20.0

    network = _run(scenario)
    assert most_in_window(network.counted) <= allowed_requests(4.0)


def test_hosts_that_join_stop_and_restart_keep_to_the_limit() -> None:
    async def scenario(network: LimitNetwork) -> None:
        network.limit = _LIMIT
        for number in range(6):
            await asyncio.sleep(3.0)
            await network.stop_host(f"h{number}")
            await asyncio.sleep(0.3)
            network.start_host(f"h{number}", 10.0)
            network.start_host(f"new{number}", 10.0)

    network = _run(scenario)
    assert most_in_window(network.counted) <= allowed_requests(_LIMIT)


def test_hosts_that_are_cut_off_from_each_other_keep_to_the_limit() -> None:
    async def scenario(network: LimitNetwork) -> None:
        network.limit = _LIMIT
        await asyncio.sleep(5.0)
        network.cut = {"h0", "h1", "h2"}
        for name, host in network.hosts.items():
            host.requests_per_second = 20.0 if name in network.cut else 1.0
        await asyncio.sleep(15.0)
        network.cut = set()
        await asyncio.sleep(10.0)

    network = _run(scenario)
    assert most_in_window(network.counted) <= allowed_requests(_LIMIT)


def test_a_limit_that_changes_or_ends_is_followed() -> None:
    async def scenario(network: LimitNetwork) -> None:
        for limit in (6.0, _LIMIT):
            network.limit = limit
            await asyncio.sleep(4.0)
            network.counted.clear()
            await asyncio.sleep(15.0)
            assert most_in_window(network.counted) <= allowed_requests(limit)
            assert len(network.counted) >= limit * 15.0 * 0.6
        network.limit = None
        await asyncio.sleep(8.0)
        network.served = 0
        await asyncio.sleep(5.0)
        # Eight hosts send five requests a second each.
        assert network.served >= 0.8 * 8 * 5.0 * 5.0

    _run(scenario)


def test_a_limit_of_nothing_can_still_end() -> None:
    async def scenario(network: LimitNetwork) -> None:
        network.limit = 0.0
        await asyncio.sleep(20.0)
        assert most_in_window(network.counted) <= allowed_requests(0.0)
        network.limit = None
        await asyncio.sleep(100.0)
        assert network.served >= 500

    _run(scenario)


async def _disturb(network: LimitNetwork) -> None:
    """Change load, limit, hosts and links at random."""
    rng = network.rng
    name = rng.choice(sorted(network.hosts))
    action = rng.random()
    if action < 0.3:
        network.hosts[name].requests_per_second = rng.choice([0.2, 2.0, 10.0, 30.0])
    elif action < 0.5:
        await network.stop_host(name)
        await asyncio.sleep(rng.uniform(0.05, 1.0))
        network.start_host(name, 5.0)
    elif action < 0.6:
        joining = f"new{rng.randrange(4)}"
        if joining not in network.hosts:
            network.start_host(joining, 5.0)
    elif action < 0.75:
        network.cut = set(rng.sample(sorted(network.hosts), rng.randrange(4)))
    else:
        network.loss_rate = rng.choice([0.0, 0.0, 0.3, 0.9])


@pytest.mark.parametrize("seed", _SEEDS)
def test_the_limit_holds_under_random_faults(seed: int) -> None:
    async def scenario(network: LimitNetwork) -> None:
        network.limit = network.rng.choice([0.5, 1.8, _LIMIT, 2.7, 10.0])
        for _ in range(40):
            await asyncio.sleep(network.rng.uniform(0.2, 2.0))
            await _disturb(network)

    network = _run(scenario, seed=seed)
    assert network.limit is not None
    assert most_in_window(network.counted) <= allowed_requests(network.limit)
