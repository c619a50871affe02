"""Check streams through a relay, whole, broken and resumed."""

import asyncio

import pytest

from tests.lib.relay_scripts import broken_stream, deny_copy, id_of, run_relay
from tests.lib.relay_world import Caller, RelayWorld
from tests.lib.scripted_server import ReceivedRequest


async def _stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    first = int(request.header("last-event-id") or 0) + 1
    head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{id_of(request)}"
    writer.write(f"{head}\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
    for number in range(first, 6):
        event = f"id: {number}\ndata: e{number}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.01)
    writer.write(b"0\r\n\r\n")


_WHOLE = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 6))


def test_a_stream_is_passed_on() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/stream/a")
        assert (await caller.reply())[2] == _WHOLE

    request = run_relay(play, engines=[_stream])[0].requests[0]
    assert request.header("x-expect-version") == "1"
    assert request.header("x-request-priority") == "0"


def test_abroken_stream_ends_between_events() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/stream/a")
        await caller.head()
        with pytest.raises(asyncio.IncompleteReadError):
            await caller.chunks()

    assert len(run_relay(play, engines=[broken_stream])[0].requests) == 1


def test_an_engine_that_keeps_denying_a_copy_is_left_for_another() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/stream/a")
        assert (await caller.reply())[2] == _WHOLE

    lacking, other = run_relay(play, engines=[deny_copy, _stream])
    assert 1 <= len(lacking.requests) <= 3
    assert len(other.requests) == 1


def test_a_request_ends_when_every_engine_keeps_denying_its_copy() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/stream/a")
        status, fields, _ = await caller.reply()
        assert (status, "retry-after" in fields) == (503, True)

    (lacking,) = run_relay(play, engines=[deny_copy])
    assert len(lacking.requests) == 3


async def _slow_stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.2)
    await _stream(request, writer)


def test_a_reply_that_was_late_leaves_a_line(caplog: pytest.LogCaptureFixture) -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        caller.send("/resumable/a", "q-late")
        assert (await caller.reply())[0] == 200
        late = b'gooseberry_router_late_total{cause="server"} 1'
        assert late in world.metrics.render()

    caplog.set_level("INFO")
    run_relay(play, engines=[_slow_stream])
    lines = [r for r in caplog.records if r.message.startswith("served late")]
    assert [(r.__dict__["request_id"], r.__dict__["reason"]) for r in lines] == [
        ("q-late", "server")
    ]


def test_a_resumable_stream_goes_on_at_another_server() -> None:
    async def play(world: RelayWorld, caller: Caller) -> None:
        for number in range(4):
            caller.send("/resumable/a", f"q{number}")
            status, _, body = await caller.reply()
            assert (status, body) == (200, _WHOLE)

    broken, sound = run_relay(play, engines=[broken_stream, _stream])
    assert broken.requests
    resumed = [r for r in sound.requests if r.header("last-event-id")]
    assert {r.header("last-event-id") for r in resumed} == {"2"}
