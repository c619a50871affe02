"""Test that hosts hear of requests that wait elsewhere, and leave places to them."""

import asyncio
from functools import partial

import pytest

from gooseberrydeal._internal.models.routing.usage_report import WaitingCount
from gooseberrydeal._internal.operations.router.assignment import Assignment
from gooseberrydeal._internal.operations.router.waiting import admission_queues
from gooseberrydeal._internal.policy.waiting.hold_back import hold_fraction
from tests.lib.dispatch_world import DispatcherHarness
from tests.lib.engine_fleet import EngineFleet
from tests.lib.routing_builders import (
    LANGUAGE,
    configuration,
    copy_key,
    engine_status,
    route,
    server_entry,
)
from tests.lib.virtual_loop import run_virtual

_SLOTS = 10
_DEFERRED = route(rank=2, target_latency=2.0)


@pytest.fixture(autouse=True)
def queue_with_few_hosts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let services have a queue in deployments as small as those played here."""
    monkeypatch.setattr(admission_queues, "_MIN_HOSTS_FOR_RANKS", 0)


@pytest.mark.parametrize("hosts", [6, 24])
def test_hosts_that_use_an_engine_hear_how_many_requests_wait(hosts: int) -> None:
    async def scenario() -> None:
        fleet = EngineFleet(hosts, 3)
        for number, rank in ((3, 0), (4, 0), (5, 2)):
            host = fleet.hosts[number]
            host.record(0).begin(copy_key(), 10, 10)
            count = WaitingCount(LANGUAGE, rank, number)
            host.exchange.set_waiting(partial(tuple[WaitingCount], (count,)))
        await asyncio.sleep(3.0)
        status = fleet.hosts[5].record(0).owner.status
        assert status is not None
        assert status.waiting == ((0, 7), (2, 5))
        # A host that ended, or whose requests were sent, is not counted any more.
        fleet.hosts[3].exchange.set_waiting(tuple)
        await fleet.hosts[4].stop()
        await asyncio.sleep(6.0)
        status = fleet.hosts[5].record(0).owner.status
        assert status is not None
        assert status.waiting == ((2, 5),)
        await fleet.stop()

    run_virtual(scenario())


async def _harness(
    used: int, waiting: tuple[tuple[int, int], ...]
) -> DispatcherHarness:
    """Return a dispatcher whose engine has some requests while others wait."""
    harness = DispatcherHarness()
    harness.servers.put(server_entry("i-1", slots=_SLOTS))
    harness.view.configuration = configuration(routes=(route(), _DEFERRED))
    harness.set_ready_copies(copy_key())
    status = harness.servers.get(server_entry("i-1").id)
    assert status is not None
    copies = status.owner.status.copies if status.owner.status else ()
    harness.servers.apply_status(
        engine_status(sequence=9, copies=copies, waiting=waiting)
    )
    for _ in range(used):
        status.begin(copy_key(), 10, 0)
    return harness


async def _wait_of(harness: DispatcherHarness, *, is_deferred: bool) -> float:
    """Return for how long a request waits until it is sent."""
    arrived = harness.now()
    found = await harness.assign(_DEFERRED if is_deferred else route(), 12.0)
    assert isinstance(found, Assignment)
    return harness.now() - arrived


def test_deferred_work_is_held_back_while_urgent_work_waits_elsewhere() -> None:
    # Guards against deferred requests that take the places urgent ones wait for.
    async def scenario() -> None:
        waiting = ((0, 50),)
        harness = await _harness(7, waiting)
        assert await _wait_of(harness, is_deferred=False) == 0.0
        # The status lapses after 1.5 s.
        assert await _wait_of(harness, is_deferred=True) > 0.5
        # An engine with room serves all that wait.
        empty = await _harness(2, waiting)
        assert await _wait_of(empty, is_deferred=True) == 0.0
        # Only more urgent requests count.
        other = await _harness(7, ((2, 50),))
        assert await _wait_of(other, is_deferred=True) == 0.0

    run_virtual(scenario())


def test_a_few_urgent_requests_do_not_stop_all_others() -> None:
    # Guards against engines that run empty while reports of a moment ago are old.
    assert hold_fraction(5, 400.0) < 0.02
    assert hold_fraction(0, 0.0) == 0.0
    assert hold_fraction(500, 400.0) == 1.0


def test_a_caller_that_leaves_does_not_hold_up_the_queue() -> None:
    async def scenario() -> None:
        harness = await _harness(_SLOTS, ())
        waits = asyncio.create_task(_wait_of(harness, is_deferred=False))
        await asyncio.sleep(0.2)
        assert harness.dispatcher.queues.waiting() == (WaitingCount(LANGUAGE, 0, 1),)
        waits.cancel()
        await asyncio.gather(waits, return_exceptions=True)
        assert harness.dispatcher.queues.waiting() == ()

    run_virtual(scenario())
