"""Test that waiting requests get engines in the order of their urgency."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

import pytest

from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.operations.router.assignment import NoAssignment
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.waiting import admission_queues
from tests.lib.dispatch_world import DispatcherHarness
from tests.lib.routing_builders import (
    LANGUAGE,
    adapter_key,
    configuration,
    copy_key,
    request_facts,
    route,
    server_entry,
)
from tests.lib.virtual_loop import run_virtual

_SLOTS = 10
_WORK_SECONDS = 0.4
# Engines are filled to 0.9 of their slots.
_CAPACITY_PER_SECOND = 0.9 * _SLOTS / _WORK_SECONDS
_URGENT = route(name="urgent", target_latency=0.5, caller_idle_timeout=4.0)
_DEFERRED = route(name="deferred", rank=2, target_latency=2.0)
_DEADLINES = {"urgent": 5.0, "deferred": 12.0}
_ADAPTERS = ("a1", "a2", "a3")


@pytest.fixture(autouse=True)
def queue_with_few_hosts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let services have a queue in deployments as small as those played here."""
    monkeypatch.setattr(admission_queues, "_MIN_HOSTS_FOR_RANKS", 0)


class _Play:
    """Send a burst to one engine, and count outcomes by route."""

    def __init__(self, *, has_queue: bool) -> None:
        self.harness = DispatcherHarness()
        self.harness.servers.put(server_entry("i-1", slots=_SLOTS))
        self.harness.set_ready_copies(*map(copy_key, _ADAPTERS))
        for adapter in _ADAPTERS:
            self.harness.view.declare(adapter_key(adapter), 1, self.harness.now())
        if has_queue:
            self.harness.view.configuration = configuration(routes=(_URGENT, _DEFERRED))
        self.counts: Counter[tuple[str, str]] = Counter()
        self.refusals: list[NoAssignment] = []
        self.waits: list[float] = []
        self.rng = random.Random(14)

    def share(self, name: str, outcome: str) -> float:
        all_of_route = sum(n for key, n in self.counts.items() if key[0] == name)
        return self.counts[name, outcome] / all_of_route

    async def load(self, name: str, rates: Sequence[float]) -> None:
        """Send requests for a second at each of the rates, and wait for all."""
        async with asyncio.TaskGroup() as tasks:
            for rate in rates:
                until = self.harness.now() + 1.0
                while rate and self.harness.now() < until:
                    await asyncio.sleep(self.rng.expovariate(rate))
                    tasks.create_task(self._request(name))
                await asyncio.sleep(max(0.0, until - self.harness.now()))

    async def _request(self, name: str) -> None:
        harness = self.harness
        now = harness.now()
        adapter = adapter_key(self.rng.choice(_ADAPTERS))
        request = RoutedRequest(
            request_facts(adapter=adapter, request_id=RequestId(name)),
            _URGENT if name == "urgent" else _DEFERRED,
            LANGUAGE,
            now,
            now + _DEADLINES[name],
        )
        found = await harness.dispatcher.assign(request)
        waited = harness.now() - now
        if isinstance(found, NoAssignment):
            self.refusals.append(found)
            self.waits.append(waited)
            self.counts[name, "refused"] += 1
            return
        record = found.record
        record.begin(found.copy, request.tokens, 0)
        await asyncio.sleep(_WORK_SECONDS * self.rng.uniform(0.8, 1.2))
        record.end(found.copy, request.tokens)
        harness.dispatcher.eligible.brittle.place_released(record)
        is_late = waited > request.route.target_latency - 0.1
        self.counts[name, "late" if is_late else "in_time"] += 1


def _play(*, has_queue: bool, urgent: float, deferred: float) -> _Play:
    """Return the play of a burst of 5 s; rates are fractions of the capacity."""

    async def play() -> _Play:
        play = _Play(has_queue=has_queue)
        burst = [urgent * _CAPACITY_PER_SECOND] * 5 + [0.3 * _CAPACITY_PER_SECOND] * 8
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(play.load("urgent", burst))
            tasks.create_task(
                play.load("deferred", [deferred * _CAPACITY_PER_SECOND] * 5)
            )
        return play

    return run_virtual(play())


def test_a_burst_of_deferred_work_does_not_delay_urgent_requests() -> None:
    # Guards against urgent requests that earn less of their value than deferred ones.
    polled = _play(has_queue=False, urgent=0.7, deferred=0.8)
    queued = _play(has_queue=True, urgent=0.7, deferred=0.8)
    assert polled.share("urgent", "in_time") < 0.8
    assert queued.share("urgent", "in_time") > 0.95
    assert queued.share("deferred", "refused") <= polled.share("deferred", "refused")


def test_urgent_overload_is_refused_early_and_deferred_work_gets_its_share() -> None:
    # Guards against a queue in which all wait until they are late.
    queued = _play(has_queue=True, urgent=1.6, deferred=0.3)
    polled = _play(has_queue=False, urgent=1.6, deferred=0.3)
    assert queued.share("urgent", "in_time") > polled.share("urgent", "in_time")
    assert queued.counts["deferred", "in_time"] + queued.counts["deferred", "late"] > 0
    seconds = [item.retry_after for item in queued.refusals]
    assert len(set(seconds)) == len(seconds)


@pytest.mark.parametrize("has_queue", [False, True])
def test_no_caller_of_a_stream_waits_beyond_its_patience(has_queue: bool) -> None:
    # Guards against streams whose callers have gone when the first event comes.
    play = _play(has_queue=has_queue, urgent=3.0, deferred=0.0)
    assert play.refusals
    assert max(play.waits) <= _URGENT.caller_idle_timeout - 0.25
