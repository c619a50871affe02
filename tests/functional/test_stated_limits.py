"""Check how a host follows the limit that a server states."""

import asyncio
import logging

import pytest

from tests.lib.relay_scripts import request_id_line, run_relay
from tests.lib.relay_world import Caller, RelayHarness
from tests.lib.scripted_server import ReceivedRequest, response


def test_the_log_says_when_a_limit_is_stated_changed_and_lifted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    stated = ["Server-Limit: 50", "Server-Limit: 50", "X-Other: 1", "Server-Limit: .5"]

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        for number in range(4):
            caller.send("/once/a", f"q{number}")
            assert (await caller.read_response())[0] == 200
            await asyncio.sleep(0.1)

    async def state(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        fields = [request_id_line(request), stated.pop(0)]
        writer.write(response(b"ok", "200 OK", *fields))

    run_relay(scenario, [state])
    found = [r.message for r in caplog.records if "for all hosts" in r.message]
    assert found == [
        "server states 50 requests a second for all hosts together",
        "server states no limit for all hosts together",
        "server states 0.5 requests a second for all hosts together",
    ]
