"""Check on real sockets what callers and servers get from the request path."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from tests.lib.relay_world import Caller, RelayWorld
from tests.lib.scripted_server import (
    ReceivedRequest,
    ScriptedServer,
    reset,
    response,
)

Play = Callable[[RelayWorld, Caller], Awaitable[None]]


def _id_of(request: ReceivedRequest) -> str:
    return f"X-Request-Id: {request.header('x-request-id')}"


async def _echo(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response(request.body, "200 OK", _id_of(request), "X-Seal: s1"))


def _run(
    play: Play,
    plain: list[Any] | None = None,
    engines: list[Any] | None = None,
) -> list[ScriptedServer]:
    """Play against scripted servers and return them, the plain ones first."""
    started: list[ScriptedServer] = []

    async def run() -> None:
        plains = [await ScriptedServer(script).start() for script in plain or []]
        models = [await ScriptedServer(script).start() for script in engines or []]
        started.extend([*plains, *models])
        async with RelayWorld(plains, models) as world:
            caller = await Caller.connect(world)
            await play(world, caller)
            caller.close()
        for server in started:
            await server.stop()

    asyncio.run(run())
    return started


def test_bytes_and_fields_pass_unchanged() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        body = bytes(range(256))
        caller.send(
            "/once/a%20b/../c?d=1&e",
            body=body,
            X_Deadline_Ms=400,
            X_Own="kept",
            X_Expect_Instance="forged",
            X_Hold="forged",
            Kv_From="forged",
            Connection="X-Hop",
            X_Hop="dropped",
        )
        status, fields, received = await caller.reply()
        assert (status, received) == (200, body)
        assert fields["x-seal"] == "s1"

    server = _run(play, [_echo])[0]
    request = server.requests[0]
    assert request.head.startswith(b"POST /once/a%20b/../c?d=1&e HTTP/1.1\r\n")
    assert request.header("x-own") == "kept"
    assert request.header("x-expect-instance") == "p-0"
    assert request.header("x-hold") is None
    assert request.header("kv-from") is None
    assert request.header("x-hop") is None
    assert 0 < int(request.header("x-deadline-ms") or 0) <= 400


def test_connections_are_reused_after_whole_responses() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        for number in range(5):
            caller.send("/once/a", f"q{number}", str(number).encode())
            assert (await caller.reply())[2] == str(number).encode()

    server = _run(play, [_echo])[0]
    assert (server.connections, len(server.requests)) == (1, 5)


async def _extra(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    good = response(b"right", "200 OK", _id_of(request))
    writer.write(good + response(b"wrong", "200 OK", "X-Request-Id: other"))


async def _late_extra(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response(b"right", "200 OK", _id_of(request)))
    await asyncio.sleep(0.02)
    writer.write(response(b"wrong", "200 OK", "X-Request-Id: other"))


@pytest.mark.parametrize("script", [_extra, _late_extra])
def test_extra_responses_reach_no_caller(script: Any) -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        for number in range(4):
            caller.send("/once/a", f"q{number}")
            assert (await caller.reply())[2] == b"right"
            await asyncio.sleep(0.05)

    _run(play, [script])


def test_a_response_to_another_request_is_not_passed_on() -> None:
    async def wrong(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(response(b"wrong", "200 OK", "X-Request-Id: other"))

    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/once/a")
        status, _, body = await caller.reply()
        assert status == 502
        assert b"wrong" not in body

    assert len(_run(play, [wrong])[0].requests) == 1


async def _half(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
    await writer.drain()
    writer.close()


async def _half_chunked(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
    await writer.drain()
    writer.close()


async def _reset_unframed(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    await writer.drain()
    await asyncio.sleep(0.02)
    reset(writer)


async def _bad_chunk(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")


@pytest.mark.parametrize("script", [_half, _half_chunked, _reset_unframed, _bad_chunk])
def test_a_cut_response_never_looks_whole(script: Any) -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/once/a")
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await caller.reply()

    _run(play, [script])


def test_a_response_that_ends_with_its_connection_is_whole() -> None:
    async def unframed(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(response(b"whole", "200 OK", framed=False))
        await writer.drain()
        writer.close()

    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/once/a")
        assert (await caller.reply())[2] == b"whole"

    _run(play, [unframed])


async def _no_response(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def _refuse(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(
        response(b"full", "503 Service Unavailable", "X-Not-Executed: 1", "X-Seal: s")
    )


async def _unmarked(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response(b"ran", "503 Service Unavailable", "X-Seal: s"))


async def _fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response(b"err", "500 Internal Server Error", _id_of(request)))


@pytest.mark.parametrize("script", [_no_response, _unmarked])
def test_what_may_have_run_once_is_neither_repeated_nor_promised(script: Any) -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/once/a")
        status, fields, _ = await caller.reply()
        assert status == 502
        assert "x-seal" not in fields

    servers = _run(play, [script, script])
    assert sum(len(server.requests) for server in servers) == 1


def test_what_was_not_run_is_sent_to_another_server_or_refused() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        for number in range(4):
            caller.send("/once/a", f"q{number}", b"y")
            assert (await caller.reply())[2] == b"y"

    _run(play, [_refuse, _echo])

    async def refused(world: RelayWorld, caller: Caller) -> None:
        caller.send("/once/a")
        status, fields, _ = await caller.reply()
        assert status == 503
        assert float(fields["retry-after"]) > 0

    _run(refused, [_refuse])


def test_a_failure_of_a_request_that_may_run_once_is_passed_on() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/once/a")
        status, _, body = await caller.reply()
        assert (status, body) == (500, b"err")

    assert len(_run(play, [_fail])[0].requests) == 1


@pytest.mark.parametrize("script", [_fail, _no_response])
def test_an_idempotent_request_is_repeated_on_another_server(script: Any) -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        for number in range(6):
            caller.send("/safe/a", f"q{number}", b"y")
            assert (await caller.reply())[:1] == (200,)

    servers = _run(play, [script, _echo])
    assert servers[0].requests


def test_an_idempotent_request_leaves_a_silent_server() -> None:
    async def silent(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(2.0)

    async def play(world: RelayWorld, caller: Caller) -> None:
        for number in range(3):
            caller.send("/safe/a", f"q{number}", b"y")
            assert (await caller.reply())[:1] == (200,)

    assert _run(play, [silent, _echo])[0].requests


def test_a_request_ends_at_its_routes_timeout() -> None:
    async def silent(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(5.0)

    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/once/a")
        assert (await caller.head())[0] == 504

    _run(play, [silent])


def test_servers_that_are_gone_are_refused_at_once() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/once/a")
        status, fields, _ = await caller.reply()
        assert status == 503
        assert "retry-after" in fields

    _run(play, [])


async def _stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    first = int(request.header("last-event-id") or 0) + 1
    head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{_id_of(request)}"
    writer.write(f"{head}\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
    for number in range(first, 6):
        event = f"id: {number}\ndata: e{number}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.01)
    writer.write(b"0\r\n\r\n")


async def _broken_stream(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{_id_of(request)}"
    part = b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\nda"
    writer.write(f"{head}\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
    writer.write(b"%x\r\n%b\r\n" % (len(part), part))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()


_WHOLE = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 6))


def test_a_stream_is_passed_on() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/stream/a")
        assert (await caller.reply())[2] == _WHOLE

    request = _run(play, engines=[_stream])[0].requests[0]
    assert request.header("x-expect-version") == "1"
    assert request.header("x-request-priority") == "0"


def test_a_broken_stream_ends_between_events() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/stream/a")
        await caller.head()
        with pytest.raises(asyncio.IncompleteReadError):
            await caller.chunks()

    assert len(_run(play, engines=[_broken_stream])[0].requests) == 1


def test_a_resumable_stream_goes_on_at_another_server() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        for number in range(4):
            caller.send("/resumable/a", f"q{number}")
            status, _, body = await caller.reply()
            assert (status, body) == (200, _WHOLE)

    broken, sound = _run(play, engines=[_broken_stream, _stream])
    assert broken.requests
    resumed = [r for r in sound.requests if r.header("last-event-id")]
    assert {r.header("last-event-id") for r in resumed} == {"2"}


def test_a_callers_leaving_ends_the_servers_work() -> None:
    async def endless(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            writer.write(b"1\r\nx\r\n")
            await writer.drain()
            await asyncio.sleep(0.01)

    servers: list[ScriptedServer] = []

    async def run() -> None:
        server = await ScriptedServer(endless).start()
        servers.append(server)
        async with RelayWorld([], [server]) as world:
            caller = await Caller.connect(world)
            caller.send("/stream/a")
            while not server.requests:
                await asyncio.sleep(0.01)
            caller.writer.transport.abort()
            while not server.closed:
                await asyncio.sleep(0.01)
            assert world.handler.in_progress == 0
        await server.stop()

    asyncio.run(asyncio.wait_for(run(), 5.0))


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"POST /once/a HTTP/1.1\r\nHost: example\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /once/x HTTP/1.1\r\n\r\n",
        b"POST /once/a HTTP/1.1\r\nHost: example\r\nContent-Length: 3\r\n"
        b"Content-Length: 4\r\n\r\nabcd",
        b"POST /once/a HTTP/1.1\r\nHost: example\r\n"
        b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"POST /once/a HTTP/1.1\r\nHost: example\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n",
        b"POST /once/a HTTP/1.1\r\nHost: example\r\nX: a\n b\r\n\r\n",
        b"POST /once/a HTTP/1.1\r\nHost: example\r\nX: a\rb\r\n\r\n",
        b"POST /once/a HTTP/1.1\r\nHost: example\r\nContent-Length : 3\r\n\r\nabc",
    ],
)
def test_ambiguous_requests_are_refused(request_bytes: bytes) -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.writer.write(request_bytes)
        assert (await caller.head())[0] == 400
        assert b"HTTP/1.1" not in await caller.reader.read()

    assert not _run(play, [_echo])[0].requests


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"GET /once/a HTTP/1.1\r\nX: " + b"a" * 3000 + b"\r\n\r\n", 431),
        (b"POST /once/a HTTP/1.1\r\nContent-Length: 6000\r\n\r\n", 413),
        (b"GET /nowhere/ HTTP/1.1\r\nHost: example\r\n\r\n", 404),
        (b"GET /once/a HTTP/1.1\r\nHo", 408),
    ],
)
def test_limits_of_callers_are_kept(request_bytes: bytes, status: int) -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.writer.write(request_bytes)
        assert (await caller.head())[0] == status

    assert not _run(play, [_echo])[0].requests


def test_requests_sent_ahead_are_answered_in_order() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        for number in range(8):
            caller.send("/once/a", f"q{number}", str(number).encode())
        for number in range(8):
            assert (await caller.reply())[2] == str(number).encode()

    _run(play, [_echo])


def test_a_stopping_host_ends_connections_and_then_refuses() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        world.handler.drain()
        caller.send("/once/a")
        status, fields, _ = await caller.reply()
        assert (status, fields["connection"]) == (200, "close")
        assert await caller.reader.read() == b""
        world.handler.refuse_new()
        other = await Caller.connect(world)
        other.send("/once/a")
        status, fields, _ = await other.reply()
        assert status == 503
        assert "retry-after" in fields

    assert len(_run(play, [_echo])[0].requests) == 1


def test_a_caller_that_does_not_read_stops_the_server() -> None:
    sent = 0
    total = 64 * 1024 * 1024

    async def flood(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {total}\r\n\r\n".encode())
        block = bytes(64 * 1024)
        while sent < total:
            writer.write(block)
            sent += len(block)
            await writer.drain()

    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/once/a")
        await caller.head()
        before = -1
        while sent != before:
            before = sent
            await asyncio.sleep(0.1)
        assert sent < total

    _run(play, [flood])
