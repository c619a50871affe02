"""Check over real sockets that silence of a sound server ends no response."""

import asyncio
from unittest.mock import patch

import pytest

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.operations.router.crash_screening import CrashScreening
from tests.lib.link_proxy import LinkState
from tests.lib.relay_scripts import echo, request_id_line, run_relay
from tests.lib.relay_world import Caller, RelayHarness
from tests.lib.scripted_server import ReceivedRequest, ScriptedServer
from tests.lib.silent_cluster import SilentCluster
from tests.lib.silent_scripts import (
    FIRST_HALF,
    SECOND_HALF,
    SOUND_SILENCE_SECONDS,
    Framing,
    chunk,
    event,
    silent_stream,
    silent_within,
)

_WHOLE = FIRST_HALF + SECOND_HALF
_EVENTS = b"".join(map(event, range(1, 6)))
_SLACK_FOR_ONE_RETRY = 1.5


@pytest.mark.parametrize("first", [b"", FIRST_HALF, _WHOLE[:-1]])
@pytest.mark.parametrize("servers", [1, 2])
@pytest.mark.parametrize("framing", list(Framing))
def test_a_response_whose_server_is_silent_for_a_second_is_whole(
    framing: Framing, servers: int, first: bytes
) -> None:
    """LOST: silence of over twice the target latency cut responses that had begun."""

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        for number in range(2):
            caller.send("/patient/a", f"q{number}")
            status, _, body = await caller.read_response()
            assert (status, body) == (200, _WHOLE)

    started = run_relay(scenario, [silent_within(framing, first)] * servers)
    assert sum(len(server.requests) for server in started) == 2


def test_a_request_stays_at_a_silent_server_if_there_is_no_other() -> None:
    """Callers got 502 although their only server answered after a second."""

    async def late(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(SOUND_SILENCE_SECONDS)
        await echo(request, writer)

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send("/patient/a", body=_WHOLE)
        status, _, body = await caller.read_response()
        assert (status, body) == (200, _WHOLE)

    run_relay(scenario, [late])


def test_a_stream_goes_on_at_its_silent_engine_if_no_other_can_take_over() -> None:
    """LOST: a stream was given up before it was known whether it could be resumed."""

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send("/resumable/a")
        assert (await caller.read_response())[2] == _EVENTS

    (engine,) = run_relay(scenario, engines=[silent_stream()])
    assert len(engine.requests) == 1


def test_a_stream_goes_on_at_its_silent_engine_without_retry_budget() -> None:
    """LOST: a stream was given up although the retry budget was exhausted."""

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        harness.handler.set_bounds(RoutingBounds(retry_ratio=0.0, retry_slack=0.0))
        caller.send("/resumable/a")
        assert (await caller.read_response())[2] == _EVENTS

    engines = run_relay(scenario, engines=[silent_stream(), silent_stream()])
    assert sum(len(engine.requests) for engine in engines) == 1


@pytest.mark.parametrize("state", [None, CopyState.LOADING, CopyState.UNLOADING])
def test_a_stream_goes_on_at_its_silent_engine_if_no_other_has_its_adapter(
    state: CopyState | None,
) -> None:
    """LOST: a stream was given up, and the adapter could not be loaded in time."""

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        harness.set_copies("e-1", state)
        caller.send("/resumable/a")
        assert (await caller.read_response())[2] == _EVENTS

    engines = run_relay(scenario, engines=[silent_stream(), silent_stream()])
    assert [len(engine.requests) for engine in engines] == [1, 0]


def test_a_stream_goes_on_at_its_silent_engine_if_its_origin_is_uncertain() -> None:
    """LOST: a stream was given up that may go on at no other engine."""

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        harness.view.starts_known_until = 0.0
        caller.send("/resumable/a")
        assert (await caller.read_response())[2] == _EVENTS

    engines = run_relay(scenario, engines=[silent_stream(), silent_stream()])
    assert sum(len(engine.requests) for engine in engines) == 1


def test_a_stream_goes_on_at_its_silent_engine_if_it_may_crash_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """LOST: a stream was given up, and then had to wait to run alone."""
    suspects: list[CrashScreening] = []

    def is_suspect(screening: CrashScreening) -> bool:
        # It becomes one only after it was sent.
        suspects.append(screening)
        return len(suspects) > 1

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        monkeypatch.setattr(CrashScreening, "is_suspect", is_suspect)
        caller.send("/resumable/a")
        assert (await caller.read_response())[2] == _EVENTS

    engines = run_relay(scenario, engines=[silent_stream(), silent_stream()])
    assert sum(len(engine.requests) for engine in engines) == 1


@pytest.mark.parametrize("retry_slack", [50.0, _SLACK_FOR_ONE_RETRY])
def test_a_stream_of_a_silent_engine_is_taken_over_by_another(
    retry_slack: float,
) -> None:
    """The retry is taken from the budget once, before the stream is given up."""

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        bounds = RoutingBounds(retry_ratio=0.0, retry_slack=retry_slack)
        harness.handler.set_bounds(bounds)
        caller.send("/resumable/a")
        assert (await caller.read_response())[2] == _EVENTS

    script = silent_stream(silence_seconds=20.0)
    engines = run_relay(scenario, engines=[script, script])
    assert [len(engine.requests) for engine in engines] == [1, 1]


def test_a_response_ends_once_its_silent_server_is_known_to_be_gone() -> None:
    """A server that is gone without an end of the connection must still be found."""

    async def run() -> None:
        server = ScriptedServer(silent_within(Framing.LENGTH, silence_seconds=20.0))
        await server.start()
        async with RelayHarness([server], []) as harness:
            caller = await Caller.connect(harness)
            caller.send("/patient/a")
            await caller.read_head()
            await server.stop()
            # The route allows 30 s.
            await asyncio.wait_for(caller.read_to_end(), 10.0)
            record = harness.servers.get(ServerId("p-0"))
            assert record is not None
            assert record.health.is_unreachable

    asyncio.run(run())


def test_the_last_sign_of_life_before_a_silence_is_none_after_it() -> None:
    """With a coarse clock, both have the same time, and no server was checked."""

    async def run() -> None:
        server = await ScriptedServer(echo).start()
        async with RelayHarness([server], []) as harness:
            caller = await Caller.connect(harness)
            caller.send("/patient/a")
            await caller.read_response()
            record = harness.servers.get(ServerId("p-0"))
            assert record is not None
            heard_at = record.pool.heard_at
            await server.stop()
            assert await harness.reachability.is_gone(record, heard_at)
            assert not await harness.reachability.is_gone(record, heard_at - 0.001)
            # An attempt that failed in the silence is not made again.
            probe = patch.object(record.pool, "probe", side_effect=AssertionError)
            with probe:
                assert await harness.reachability.is_gone(record, heard_at)

    asyncio.run(run())


def test_a_server_that_accepts_connections_again_is_not_gone() -> None:
    """LOST: a failed attempt to connect must not count after one that succeeded."""

    async def run() -> None:
        server = await ScriptedServer(echo).start()
        address = server.address
        async with RelayHarness([server], []) as harness:
            record = harness.servers.get(ServerId("p-0"))
            assert record is not None
            silent_since = asyncio.get_running_loop().time()
            await server.stop()
            assert await harness.reachability.is_gone(record, silent_since)
            assert record.health.is_unreachable
            again = await ScriptedServer(echo).start(address)
            await record.pool.probe()
            assert not await harness.reachability.is_gone(record, silent_since)
            await again.stop()

    asyncio.run(run())


def test_a_caller_that_reads_slowly_does_not_make_its_server_silent() -> None:
    """LOST: a pause of this host, for a slow caller, was taken for the server's."""
    block = b"id: 1\ndata: %b\n\n" % bytes(1_000_000).replace(b"\0", b"x")

    async def flood(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"{request_id_line(request)}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, 17):
            writer.write(chunk(block.replace(b"id: 1", b"id: %d" % number)))
            await writer.drain()
        writer.write(chunk(b""))

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send("/resumable/a")
        await caller.read_head()
        await asyncio.sleep(1.0)
        assert len(await caller.read_chunked_body()) > 16 * len(block)

    engines = run_relay(scenario, engines=[flood, flood])
    assert sum(len(engine.requests) for engine in engines) == 1


def test_a_response_through_a_second_host_is_whole_after_a_silence() -> None:
    """LOST: the second host cut the responses of its silent servers."""

    async def run() -> None:
        async with SilentCluster(hosts=2, servers=2) as cluster:
            await cluster.cut(["host-0"], LinkState.RESET_AND_REFUSED)
            while not cluster.nodes["host-0"]._reachability.is_isolated:
                await cluster.call("host-0", b"notice")
            cluster.fall_silent()
            bodies = [b"%016x" % number for number in range(8)]
            replies = await asyncio.gather(
                *(cluster.fetch(f"host-{n % 2}", body) for n, body in enumerate(bodies))
            )
            for body, reply in zip(bodies, replies, strict=True):
                assert reply.startswith(b"HTTP/1.1 200")
                assert reply.endswith(body)

    asyncio.run(asyncio.wait_for(run(), 30.0))


def test_a_request_at_a_server_that_is_cut_off_is_passed_on_to_a_second_host() -> None:
    """A host without another server must not wait for one that it can't reach."""

    async def run() -> int:
        async with SilentCluster(hosts=2, servers=1) as cluster:
            (server,) = cluster.servers
            server.service_seconds = 0.5
            call = asyncio.create_task(cluster.call("host-0", b"request", "/safe/a"))
            while not server.arrivals or server.arrivals[-1][0] != b"request":
                await asyncio.sleep(0.01)
            await cluster.cut(["host-0"], LinkState.SILENT)
            return (await call)[0]

    assert asyncio.run(asyncio.wait_for(run(), 30.0)) == 200
