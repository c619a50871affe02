"""Check over real sockets what a server's invalid load costs."""

import asyncio
import logging

import pytest

from tests.lib.odd_values import INVALID_LOADS
from tests.lib.relay_scripts import request_id_line, run_relay
from tests.lib.relay_world import Caller, RelayHarness
from tests.lib.scripted_server import ReceivedRequest, Script, response

_PATHS = ("/stream/a", "/resumable/a", "/once/a", "/safe/a")


def _state(load: str) -> Script:
    """Return the script of a server that answers each request with a load."""

    async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        fields = (request_id_line(request), f"X-Instance-Load: {load}")
        writer.write(response(b"ok", "200 OK", *fields))

    return answer


@pytest.mark.parametrize("load", INVALID_LOADS, ids=lambda load: load[:20])
@pytest.mark.parametrize("path", _PATHS)
def test_an_invalid_load_ends_no_request_without_an_answer(
    path: str, load: str
) -> None:
    # LOST: requests that weighed a server whose last figure was zero were closed.
    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        for number in range(4):
            caller.send(path, f"q{number}")
            status, _, body = await caller.read_response()
            assert (status, body) == (200, b"ok")

    run_relay(scenario, [_state(load)], [_state(load)])


@pytest.mark.parametrize("load", INVALID_LOADS, ids=lambda load: load[:20])
def test_ignored_loads_are_counted_and_logged(
    load: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send("/once/a")
        await caller.read_response()
        metrics = harness.metrics.render().decode()
        assert 'gooseberry_router_ignored_total{kind="server_load"} 1' in metrics

    with caplog.at_level(logging.INFO):
        run_relay(scenario, [_state(load)])
    assert "ignoring the server's load" in caplog.text
