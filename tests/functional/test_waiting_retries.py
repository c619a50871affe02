"""Check what a retry goes by that waited between its assignment and its send."""

import asyncio
from dataclasses import replace

import pytest

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.server_entry import ServerState
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from tests.lib.relay_scripts import request_id_line, run_relay
from tests.lib.relay_world import Caller, RelayHarness
from tests.lib.scripted_server import ReceivedRequest, response


async def _fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response(b"", "500 Internal Server Error", request_id_line(request)))


def test_a_retry_is_not_sent_to_a_server_that_drains_since_its_assignment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        is_allowed = iter((False, True))

        def consume_retry(request: RoutedRequest) -> bool:
            (failed,) = request.started_on
            record = harness.servers.get(ServerId("p-1" if failed == "p-0" else "p-0"))
            assert record is not None
            harness.servers.put(replace(record.entry, state=ServerState.DRAINING))
            return next(is_allowed)

        monkeypatch.setattr(harness.handler._retries, "consume", consume_retry)
        caller.send("/safe/a")
        status, _, _ = await caller.read_response()
        assert status == 502

    servers = run_relay(scenario, plain=[_fail, _fail])
    assert sum(len(server.requests) for server in servers) == 1
