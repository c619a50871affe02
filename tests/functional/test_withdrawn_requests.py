"""Check what happens to attempts of a request that is refused for crashes."""

import asyncio

import pytest

from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.routing.lost_request import LostRequest
from tests.lib.crash_world import crash_id, identity, relayed_identity
from tests.lib.relay_scripts import echo, run_relay
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


def _lost_request(path: str = "/once/a") -> LostRequest:
    return LostRequest(RequestId("q1"), relayed_identity(path).features)


@pytest.mark.parametrize("path", ["/once/a", "/safe/a", "/stream/a", "/resumable/a"])
def test_an_attempt_under_way_is_withdrawn_when_its_request_is_refused(
    path: str,
) -> None:
    is_at_server = asyncio.Event()

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send(path)
        await is_at_server.wait()
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
        is_at_server.set()
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
        for path in ("/once/a", "/stream/a"):
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


def test_a_refused_request_with_another_query_is_sent_alone_and_then_refused() -> None:
    refused = identity(b"crash", "/once/a", caller="")

    async def run() -> None:
        servers = [await _crashing_engine(has_begun=False) for _ in range(3)]
        async with RelayHarness(servers, []) as harness:
            for number in range(3):
                lost = LostRequest(RequestId("q1"), refused.features)
                harness.crash_protection.guard.note_crash(crash_id(number), [lost])
            for number, query in enumerate(("?p=2", "?p=3", "?p=2", "")):
                caller = await Caller.connect(harness)
                caller.send(f"/once/a{query}", f"q{number}", b"crash")
                status, _, body = await caller.read_response()
                assert (status, body) == (502, b"crash_suspect\n")
                caller.close()
                await asyncio.sleep(_PROBE_SECONDS)
            assert sum(len(server.requests) for server in servers) == 1

    asyncio.run(run())


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
