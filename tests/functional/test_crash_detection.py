"""Check which lost connections count as a crash of the server, over real sockets."""

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from gooseberrydeal._internal.models.ids import RequestId, ServerId
from gooseberrydeal._internal.models.routing.lost_request import LostRequest
from gooseberrydeal._internal.models.routing.server_entry import ServerState
from gooseberrydeal._internal.policy.request_identity import RequestIdentity
from tests.lib.crash_world import crash_id
from tests.lib.relay_scripts import broken_stream, echo, run_relay
from tests.lib.relay_world import Caller, RelayHarness
from tests.lib.scripted_server import (
    ReceivedRequest,
    ScriptedServer,
    reset_connection,
    response,
)

_PROBE_SECONDS = 0.05
# Callers repeat repeatable requests after any failure but some client errors, and
# others only after a status that promises that the request did not run.
_FINAL_STATUS = {"/once/a": 502, "/stream/a": 502, "/safe/a": 400, "/resumable/a": 400}
# The platform's bound on sends after the third crash.
_MAX_LATE_CRASHES = 3


def _identity(path: str = "/once/a", body: bytes = b"x") -> RequestIdentity:
    return RequestIdentity(RequestId("q1"), path, "", body)


def _lost_request(path: str = "/once/a") -> LostRequest:
    return LostRequest(RequestId("q1"), _identity(path).fingerprint)


def _is_suspect(harness: RelayHarness, path: str = "/once/a") -> bool:
    return harness.crash_protection.guard.is_suspect(_identity(path))


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


@pytest.mark.parametrize("path", ["/once/a", "/safe/a", "/stream/a", "/resumable/a"])
def test_an_attempt_under_way_is_withdrawn_when_its_request_is_refused(
    path: str,
) -> None:
    servers: list[ScriptedServer] = []

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send(path)
        await asyncio.sleep(_PROBE_SECONDS)
        for number in range(3):
            harness.crash_protection.guard.note_crash(
                crash_id(number), [_lost_request(path)]
            )
        status, fields, body = await caller.read_response()
        assert (status, body) == (_FINAL_STATUS[path], b"crash_suspect\n")
        assert "retry-after" not in fields
        await asyncio.sleep(_PROBE_SECONDS)
        assert not harness.handler.in_progress

    async def wait(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.2)

    servers = run_relay(scenario, [wait], [wait])
    assert sum(len(server.requests) for server in servers) == 1


def test_an_attempt_whose_response_has_begun_goes_on_and_clears_the_request() -> None:
    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send("/once/a")
        await caller.read_head()
        for number in range(3):
            harness.crash_protection.guard.note_crash(
                crash_id(number), [_lost_request()]
            )
        assert await caller.reader.readexactly(4) == b"done"
        caller.send("/once/a")
        assert (await caller.read_response())[0] == 200

    async def slow(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(response(b"", "200 OK", "Content-Length: 4", framed=False))
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.write(b"done")

    run_relay(scenario, [slow])


def test_a_refused_request_reaches_no_server_and_others_do() -> None:
    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        for number in range(3):
            for first, path in enumerate(("/once/a", "/stream/a")):
                harness.crash_protection.guard.note_crash(
                    crash_id(10 * first + number), [_lost_request(path)]
                )
        for path in ("/once/a", "/once/a?page=2", "/stream/a"):
            caller.send(path, "q7", X_Other="1")
            status, fields, body = await caller.read_response()
            assert (status, body) == (502, b"crash_suspect\n")
            assert "retry-after" not in fields
        for path, body, credential in (
            ("/once/b", b"x", None),
            ("/once/a", b"y", None),
            ("/once/a", b"x", "Bearer k2"),
        ):
            headers = {"Authorization": credential} if credential else {}
            caller.send(path, "q8", body, **headers)
            assert (await caller.read_response())[0] == 200

    servers = run_relay(scenario, [echo], [echo])
    assert sum(len(server.requests) for server in servers) == 3


@pytest.mark.parametrize("path", ["/stream/a", "/resumable/a"])
@pytest.mark.parametrize("has_begun", [False, True])
def test_a_stream_that_crashes_engines_is_refused(path: str, has_begun: bool) -> None:
    async def run() -> None:
        engines = [await _crashing_engine(has_begun=has_begun) for _ in range(8)]
        async with RelayHarness([], engines) as harness:
            crashes = []
            for number in range(8):
                caller = await Caller.connect(harness)
                caller.send(path, f"q{number}", b"crash")
                await caller.reader.read()
                caller.close()
                await asyncio.sleep(_PROBE_SECONDS)
                crashes.append(sum(len(engine.requests) for engine in engines))
            assert crashes[-1] == crashes[-3]
            assert 3 <= crashes[-1] <= 3 + _MAX_LATE_CRASHES
            caller = await Caller.connect(harness)
            caller.send(path, "q9", b"other")
            assert (await caller.read_response())[0] == 200

    asyncio.run(run())


async def _crashing_engine(*, has_begun: bool) -> ScriptedServer:
    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if request.body != b"crash":
            await echo(request, writer)
            return
        if has_begun:
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: e1\n\n\r\n"
            )
            await writer.drain()
            await asyncio.sleep(0.02)
        await server.stop()
        reset_connection(writer)

    server = await ScriptedServer(script).start()
    return server
