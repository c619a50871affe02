"""Check over real sockets how a host notices that it does not reach a server."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from gooseberrydeal._internal.exceptions import (
    ServerNotListeningError,
    ServerUnreachableError,
)
from gooseberrydeal._internal.models.ids import DomainName, ServerId
from gooseberrydeal._internal.operations.router.reachability import ReachabilityProber
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.silence_watch import SilenceWatch
from tests.lib.link_proxy import LinkProxy, LinkState
from tests.lib.relay_scripts import request_id_line, run_relay
from tests.lib.relay_world import Caller, RelayHarness
from tests.lib.routing_builders import configuration, server_entry
from tests.lib.scripted_server import ReceivedRequest, ScriptedServer, response
from tests.lib.virtual_loop import run_virtual

_MANY_SERVERS = 130


async def _answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response())


@asynccontextmanager
async def _linked_server() -> AsyncIterator[
    tuple[ServerRecord, ReachabilityProber, LinkProxy]
]:
    """Yield a server behind a link, with one idle connection to it."""
    server = await ScriptedServer(_answer).start()
    link = LinkProxy(server.address)
    await link.start()
    servers = ServerTable(asyncio.get_running_loop().time)
    servers.configure(configuration())
    servers.put(server_entry("e-1", address=link.address))
    record = servers.get(ServerId("e-1"))
    assert record is not None
    prober = ReachabilityProber(
        servers, DomainName("d1"), lambda *_: None, random.Random(1)
    )
    await record.pool.probe()
    try:
        yield record, prober, link
    finally:
        await prober.stop()
        record.pool.close()
        await link.stop()
        await server.stop()


async def _fail_to_connect(record: ServerRecord, prober: ReachabilityProber) -> None:
    """Use the idle connection, and fail to open another one."""
    loop = asyncio.get_running_loop()
    connection = await record.pool.acquire()
    began_at = loop.time()
    try:
        await record.pool.acquire()
    except ServerUnreachableError as error:
        record.pool.release(connection)
        prober.connect_failed(record, error, began_at)
    else:
        raise AssertionError("the link is not cut")


def test_open_connections_stay_in_use_while_new_ones_are_refused() -> None:
    async def run() -> None:
        async with _linked_server() as (record, prober, link):
            await link.cut(LinkState.NEW_REFUSED)
            await _fail_to_connect(record, prober)
            assert record.health.is_unreachable
            assert record.is_reachable
            assert record.pool.has_idle

    asyncio.run(asyncio.wait_for(run(), 10.0))


def test_connections_that_may_be_silent_too_are_closed_while_new_ones_hang() -> None:
    async def run() -> None:
        async with _linked_server() as (record, prober, link):
            await link.cut(LinkState.SILENT)
            await _fail_to_connect(record, prober)
            assert not record.is_reachable

    asyncio.run(asyncio.wait_for(run(), 10.0))


def test_a_server_is_checked_once_it_was_silent_after_a_request_for_a_while() -> None:
    async def run() -> None:
        async with _linked_server() as (record, _, _):
            silent: asyncio.Queue[ServerRecord] = asyncio.Queue()
            record.load.begin(0)
            SilenceWatch(silent.put_nowait).request_sent(record)
            assert await silent.get() is record

    asyncio.run(asyncio.wait_for(run(), 10.0))


def test_a_full_pool_does_not_make_a_server_unreachable() -> None:
    async def answer_late(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.2)
        writer.write(response(b"ok", "200 OK", request_id_line(request)))

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        (record,) = harness.servers.records
        record.pool.set_limit(1)
        caller.send("/once/a", "q1")
        await asyncio.sleep(0.05)
        other = await Caller.connect(harness)
        other.send("/once/a", "q2")
        assert (await other.read_response())[0] == 503
        assert not record.health.is_unreachable
        assert (await caller.read_response())[0] == 200

    run_relay(scenario, [answer_late])


def test_a_host_that_reaches_no_server_probes_each_only_at_its_own_times() -> None:
    async def run() -> None:
        attempts = 0

        async def fail() -> None:
            nonlocal attempts
            attempts += 1
            await asyncio.sleep(0)
            raise ServerNotListeningError("refused")

        servers = ServerTable(asyncio.get_running_loop().time)
        servers.configure(configuration())
        for number in range(_MANY_SERVERS):
            servers.put(server_entry(f"e-{number}"))
        prober = ReachabilityProber(
            servers, DomainName("d1"), lambda *_: None, random.Random(1)
        )
        for record in servers.records:
            record.pool.probe = fail  # type: ignore[method-assign]
        for record in servers.records:
            prober.mark_unreachable(record)
        await asyncio.sleep(4.0)
        await prober.stop()
        assert attempts <= 10 * _MANY_SERVERS

    run_virtual(run())
