"""Check which lost connections count as a crash of the server, over real sockets."""

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.server_entry import ServerState
from tests.lib.crash_world import relayed_identity
from tests.lib.relay_scripts import broken_stream, run_relay
from tests.lib.relay_world import Caller, RelayHarness
from tests.lib.scripted_server import (
    ReceivedRequest,
    ScriptedServer,
    reset_connection,
    response,
)

_PROBE_SECONDS = 0.05


def _is_suspect(harness: RelayHarness, path: str = "/once/a") -> bool:
    return harness.crash_protection.guard.is_suspect(relayed_identity(path))


class _CrashingScript:
    """Reset the connection and stop listening when a request has arrived."""

    def __init__(self, *, is_silent: bool = False) -> None:
        self.server: ScriptedServer | None = None
        self.received = asyncio.Event()
        self.proceed = asyncio.Event()
        if not is_silent:
            self.proceed.set()

    async def __call__(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.received.set()
        await self.proceed.wait()
        assert self.server is not None
        await self.server.stop()
        reset_connection(writer)


async def _crashing_harness(script: _CrashingScript) -> RelayHarness:
    script.server = await ScriptedServer(script).start()
    return RelayHarness([script.server], [])


def test_a_server_that_stops_listening_has_crashed() -> None:
    async def run() -> None:
        async with await _crashing_harness(_CrashingScript()) as harness:
            caller = await Caller.connect(harness)
            caller.send("/once/a")
            assert (await caller.read_response())[0] == 502
            await asyncio.sleep(_PROBE_SECONDS)
            assert _is_suspect(harness)
            assert not _is_suspect(harness, "/once/b")
            assert b"server_crashes_total 1" in harness.metrics.render()

    asyncio.run(run())


@pytest.mark.parametrize("server_id", ["p-0", "p-9"])
def test_a_server_that_has_started_again_before_the_probe_has_crashed(
    server_id: str,
) -> None:
    async def reset(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        reset_connection(writer)

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send("/once/a")
        await caller.read_response()
        await asyncio.sleep(_PROBE_SECONDS)
        assert not _is_suspect(harness)
        record = harness.servers.get(ServerId("p-0"))
        assert record is not None
        restarted = replace(record.entry, id=ServerId(server_id), started_at=2)
        harness.servers.put(restarted)
        assert _is_suspect(harness)

    run_relay(scenario, [reset])


async def _reset(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    reset_connection(writer)


async def _lose_answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.close()


async def _garble(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(b"\x00\x01 no response\r\n\r\n")


async def _cut_body(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
    await writer.drain()
    await asyncio.sleep(0.02)
    reset_connection(writer)


async def _cross(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response(b"x", "200 OK", "X-Request-Id: other"))


async def _freeze(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(1.0)


async def _fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response(b"", "500 Internal Server Error"))


@pytest.mark.parametrize("path", ["/once/a", "/safe/a", "/stream/a", "/resumable/a"])
@pytest.mark.parametrize(
    "script",
    [_reset, _lose_answer, _garble, _cut_body, _cross, _freeze, _fail, broken_stream],
)
def test_other_failures_are_no_crash(script: Any, path: str) -> None:
    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send(path, X_Deadline_Ms=400)
        await caller.reader.read(1)
        await asyncio.sleep(_PROBE_SECONDS)
        assert not _is_suspect(harness, path)
        assert b"server_crashes_total 1" not in harness.metrics.render()

    run_relay(scenario, [script], [script])


def _drain(harness: RelayHarness) -> None:
    record = harness.servers.get(ServerId("p-0"))
    assert record is not None
    harness.servers.put(replace(record.entry, state=ServerState.DRAINING))


def _remove_entry(harness: RelayHarness) -> None:
    harness.servers.remove(ServerId("p-0"))


@pytest.mark.parametrize("leave", [_drain, _remove_entry])
def test_the_end_of_a_leaving_or_released_server_is_no_crash(leave: Any) -> None:
    async def run() -> None:
        script = _CrashingScript(is_silent=True)
        async with await _crashing_harness(script) as harness:
            caller = await Caller.connect(harness)
            caller.send("/once/a")
            await script.received.wait()
            leave(harness)
            script.proceed.set()
            assert (await caller.read_response())[0] == 502
            await asyncio.sleep(_PROBE_SECONDS)
            assert not _is_suspect(harness)

    asyncio.run(run())


def test_a_caller_that_leaves_and_a_host_that_stops_are_no_crash() -> None:
    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send("/once/a")
        await asyncio.sleep(_PROBE_SECONDS)
        caller.close()
        await asyncio.sleep(_PROBE_SECONDS)
        assert not _is_suspect(harness)
        other = await Caller.connect(harness)
        other.send("/once/a")
        await asyncio.sleep(_PROBE_SECONDS)
        harness.listener.abort()
        await asyncio.sleep(_PROBE_SECONDS)
        assert not _is_suspect(harness)

    run_relay(scenario, [_freeze])
