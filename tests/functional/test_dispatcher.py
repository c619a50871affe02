"""Check the handling of requests that cannot be assigned at once."""

import asyncio
from collections.abc import Sequence

import pytest

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.operations.router.assignment import (
    Assignment,
    NoAssignment,
)
from gooseberrydeal._internal.operations.router.engine_scope import EngineScope
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from tests.lib.dispatch_world import DispatcherHarness
from tests.lib.routing_builders import (
    copy_key,
    engine_status,
    membership,
    route,
    routed_request,
    server_entry,
)
from tests.lib.virtual_loop import run_virtual


def test_a_request_is_refused_while_its_caller_can_still_retry() -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.set_ready_copies()
        arrived = harness.now()
        short_timeout_route = route(target_latency=0.8, caller_idle_timeout=3.2)
        refusal = await harness.assign(short_timeout_route, 10.0)
        assert isinstance(refusal, NoAssignment)
        assert refusal.reason is RefusalReason.LOAD_FAILED
        assert harness.now() - arrived < short_timeout_route.caller_idle_timeout
        # A caller that retries after the given delay still has half of its total time
        # left, and its idle timeout starts again.
        assert harness.now() + refusal.retry_after - arrived < 10.0 / 2

    run_virtual(scenario())


@pytest.mark.parametrize("is_full", [False, True])
def test_a_request_is_refused_as_overloaded_only_where_engines_are_full(
    is_full: bool,
) -> None:
    # Guards against "overloaded" as the reason where an idle engine has no owner.
    async def scenario() -> None:
        harness = DispatcherHarness()
        (record,) = harness.servers.records
        if is_full:
            for _ in range(record.entry.slots):
                record.load.begin(0)
        refusal = await harness.assign(route(caller_idle_timeout=3.2), 10.0)
        assert isinstance(refusal, NoAssignment)
        expected = RefusalReason.OVERLOADED if is_full else RefusalReason.NO_OWNER
        assert refusal.reason is expected

    run_virtual(scenario())


@pytest.mark.parametrize("ends", ["before", "meanwhile"])
def test_a_load_goes_at_once_to_an_engine_with_a_working_owner(ends: str) -> None:
    # Guards against a wait for an engine whose owner ended, before the request or while
    # it waited for a load there.
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.set_ready_copies()
        expected = ["i-2"]
        if ends == "before":
            await asyncio.sleep(2.0)
        else:
            expected = ["i-1", "i-2"]
            request = asyncio.ensure_future(harness.assign(route(), 10.0))
            await asyncio.sleep(0.1)
            harness.servers.apply_status(engine_status("i-1", sequence=9))
        harness.servers.put(server_entry("i-2"))
        harness.set_ready_copies(server="i-2")
        if ends == "before":
            request = asyncio.ensure_future(harness.assign(route(), 10.0))
        await asyncio.sleep(0.1)
        assert [record.id for record in harness.load_requests] == expected
        harness.set_ready_copies(copy_key(), server="i-2")
        assignment = await request
        assert isinstance(assignment, Assignment)
        assert assignment.record.id == "i-2"

    run_virtual(scenario())


def test_a_request_that_waited_for_a_place_in_vain_is_not_passed_on_to_wait_again() -> (
    None
):
    async def scenario() -> None:
        harness = DispatcherHarness()
        other_host = membership("h2")
        harness.view.hosts[other_host.host] = other_host
        (record,) = harness.servers.records
        brittle = harness.dispatcher.eligible.brittle
        notice = ResponseAttributes("q0", False, False, is_brittle=True)
        brittle.response_received(record, notice, harness.now())
        while brittle.has_place(record):
            record.load.begin(0)
        request = routed_request()
        request.arrived_at = harness.now()
        refusal = harness.dispatcher.eligible.refusal(request, [record])
        assert refusal.other_hosts == (other_host.host,)
        await asyncio.sleep(request.route.target_latency + 0.01)
        refusal = harness.dispatcher.eligible.refusal(request, [record])
        assert refusal.reason is RefusalReason.SERVER_BUSY
        assert refusal.other_hosts == ()

    run_virtual(scenario())


def test_a_request_that_waits_for_a_load_asks_no_further_engines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    seen: list[tuple[float, int]] = []

    def select(
        self: EngineScope,
        records: Sequence[ServerRecord],
        copy: AdapterCopyKey,
        name: str,
        failed_checks: int,
    ) -> list[ServerRecord]:
        seen.append((asyncio.get_running_loop().time(), failed_checks))
        return list(records)

    monkeypatch.setattr(EngineScope, "select", select)

    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.set_ready_copies()
        await harness.assign(route(target_latency=0.8, caller_idle_timeout=3.2), 10.0)

    run_virtual(scenario())
    started_at = seen[0][0]
    within_load = [checks for at, checks in seen if at < started_at + 1.2]
    assert len(within_load) > 10
    assert set(within_load) == {0}
    assert seen[-1][1] > 0
