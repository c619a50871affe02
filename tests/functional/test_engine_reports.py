"""Check what hosts and owners of engines tell each other in large deployments."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from tests.lib.engine_fleet import EngineFleet, EngineFleetHost
from tests.lib.routing_builders import copy_key
from tests.lib.virtual_loop import run_virtual

_SECONDS = 20.0
# Two requests a second and host, as on the large deployment.
_REQUEST_INTERVAL_SECONDS = 0.5
_REQUEST_SECONDS = 0.6
_MAX_IDLE_MESSAGES_PER_SECOND = 20

Scenario = Callable[[EngineFleet], Awaitable[None]]


def _run(hosts: int, engines: int, scenario: Scenario) -> EngineFleet:
    fleets: list[EngineFleet] = []

    async def run() -> None:
        fleet = EngineFleet(hosts, engines)
        fleets.append(fleet)
        await asyncio.sleep(5.0)
        fleet.reset_counts()
        await scenario(fleet)
        await fleet.stop()

    run_virtual(run())
    return fleets[0]


def _messages_per_second(fleet: EngineFleet) -> float:
    """Return how many datagrams a host sends and receives, on average."""
    total = fleet.sent.total() + fleet.received.total()
    return total / fleet.host_count / _SECONDS


async def _idle(fleet: EngineFleet) -> None:
    await asyncio.sleep(_SECONDS)


async def _request(host: EngineFleetHost, adapter: str) -> None:
    """Choose among the engines as a request does, and use one of them."""
    copy = copy_key(adapter)
    records = host.scope.select(list(host.servers.records), copy, adapter, 0)
    await host.scope.refresh(records)
    record = min(records, key=lambda item: item.load.requests(0.0))
    record.begin(copy, 700, 600)
    host.exchange.usage_changed(record)
    await asyncio.sleep(_REQUEST_SECONDS)
    record.load.remove_pending_prefill(600)
    record.end(copy, 700)


async def _busy(fleet: EngineFleet) -> None:
    rng = random.Random(2)
    requests = []
    until = asyncio.get_running_loop().time() + _SECONDS
    while asyncio.get_running_loop().time() < until:
        for host in fleet.hosts:
            adapter = f"a{min(int(rng.paretovariate(1.0)), 200)}"
            requests.append(asyncio.create_task(_request(host, adapter)))
        await asyncio.sleep(_REQUEST_INTERVAL_SECONDS)
    await asyncio.gather(*requests)


@pytest.mark.parametrize(("hosts", "engines"), [(24, 24), (48, 24), (195, 62)])
def test_idle_hosts_tell_each_other_little(hosts: int, engines: int) -> None:
    fleet = _run(hosts, engines, _idle)
    assert _messages_per_second(fleet) < _MAX_IDLE_MESSAGES_PER_SECOND


def test_messages_of_a_host_do_not_grow_with_hosts_and_engines() -> None:
    small = _messages_per_second(_run(24, 24, _busy))
    more_hosts = _messages_per_second(_run(48, 24, _busy))
    more_of_both = _messages_per_second(_run(48, 48, _busy))
    assert more_hosts < 1.5 * small
    assert more_of_both < 1.5 * small


def test_an_owner_answers_a_host_that_asks_at_once() -> None:
    async def scenario(fleet: EngineFleet) -> None:
        host = fleet.hosts[-1]
        now = asyncio.get_running_loop().time
        assert not host.record(0).owner.is_fresh(now())
        asked_at = now()
        await host.scope.refresh([host.record(0)])
        assert host.record(0).owner.is_fresh(now())
        assert now() - asked_at < 0.01

    _run(40, 20, scenario)


def test_a_host_that_uses_an_engine_hears_of_it_until_it_stops() -> None:
    async def scenario(fleet: EngineFleet) -> None:
        host = fleet.hosts[-1]
        record = host.record(0)
        now = asyncio.get_running_loop().time
        record.begin(copy_key("a1"), 100, 100)
        await host.scope.refresh([record])
        for _ in range(10):
            await asyncio.sleep(1.0)
            assert record.owner.is_fresh(now())
            assert not record.owner.is_silent(now())
        record.end(copy_key("a1"), 100)
        await asyncio.sleep(10.0)
        assert not record.owner.is_fresh(now())
        assert not record.owner.is_silent(now())
        owner = fleet.hosts[0].owners[record.id]
        assert host.member.host not in owner._demand.hosts

    _run(40, 20, scenario)


def test_a_host_that_waits_for_an_owner_in_vain_takes_it_for_silent() -> None:
    async def scenario(fleet: EngineFleet) -> None:
        host = fleet.hosts[-1]
        record = host.record(0)
        now = asyncio.get_running_loop().time
        record.begin(copy_key("a1"), 100, 100)
        await host.scope.refresh([record])
        await fleet.hosts[0].stop()
        fleet.hosts[0].owners.clear()
        await asyncio.sleep(5.0)
        assert record.owner.is_silent(now())
        # Requests do not wait for its answer again.
        asked_at = now()
        await host.scope.refresh([record])
        assert now() == asked_at

    _run(40, 20, scenario)


def test_a_slowdown_that_varies_a_little_is_not_reported_each_time() -> None:
    async def scenario(fleet: EngineFleet) -> None:
        host = fleet.hosts[-1]
        record = host.record(0)
        now = asyncio.get_running_loop().time
        record.begin(copy_key("a1"), 100, 100)
        await host.scope.refresh([record])
        sent_before = fleet.sent[host.member.host]
        for slowdown in (1.02, 0.99, 1.04, 0.97):
            record.load.report(1, slowdown, now())
            host.exchange.usage_changed(record)
            await asyncio.sleep(0.01)
        assert fleet.sent[host.member.host] == sent_before
        record.load.report(1, 1.5, now())
        host.exchange.usage_changed(record)
        await asyncio.sleep(0.01)
        assert fleet.sent[host.member.host] == sent_before + 1

    _run(40, 20, scenario)


def test_small_deployments_report_each_change_of_a_slowdown() -> None:
    async def scenario(fleet: EngineFleet) -> None:
        host = fleet.hosts[-1]
        record = host.record(0)
        now = asyncio.get_running_loop().time
        record.begin(copy_key("a1"), 100, 100)
        await asyncio.sleep(0.3)
        sent_before = fleet.sent[host.member.host]
        for slowdown in (1.02, 0.99, 1.04):
            record.load.report(1, slowdown, now())
            host.exchange.usage_changed(record)
            await asyncio.sleep(0.05)
        assert fleet.sent[host.member.host] >= sent_before + 3

    _run(8, 8, scenario)


def test_more_engines_are_considered_the_longer_a_request_waits() -> None:
    async def scenario(fleet: EngineFleet) -> None:
        host = fleet.hosts[-1]
        records = list(host.servers.records)
        counts = [
            len(host.scope.select(records, copy_key("a1"), "q", checks))
            for checks in range(6)
        ]
        assert counts[0] == 6
        assert counts == sorted(counts)
        assert counts[-1] == len(records)

    _run(40, 40, scenario)


def test_engines_with_a_copy_are_considered_whatever_their_rank() -> None:
    async def scenario(fleet: EngineFleet) -> None:
        host = fleet.hosts[-1]
        records = list(host.servers.records)
        copy = copy_key("a1")
        chosen = host.scope.select(records, copy, "q", 0)
        holder = next(record for record in records if record not in chosen)
        now = asyncio.get_running_loop().time()
        holder._copies.use_entry([copy], now)
        assert holder in host.scope.select(records, copy, "q", 0)

    _run(40, 40, scenario)


def test_small_deployments_consider_all_engines() -> None:
    async def scenario(fleet: EngineFleet) -> None:
        host = fleet.hosts[-1]
        records = list(host.servers.records)
        assert host.scope.select(records, copy_key("a1"), "q", 0) == records
        now = asyncio.get_running_loop().time()
        assert all(record.owner.is_fresh(now) for record in records)

    _run(8, 8, scenario)
