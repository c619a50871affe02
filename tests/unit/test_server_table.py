"""Check which servers of a service accept requests as their entries change."""

import asyncio

import pytest

from gooseberrydeal._internal.exceptions import ConnectionLimitError
from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.server_entry import ServerState
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from tests.lib.routing_builders import LANGUAGE, PLAIN, configuration, server_entry


def _accepting(servers: ServerTable) -> dict[str, list[str]]:
    return {
        str(name): [record.id for record in servers.of_service(name)]
        for name in (LANGUAGE, PLAIN)
    }


async def _accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()


def test_a_share_of_connections_grows_a_minute_after_hosts_left() -> None:
    async def scenario() -> None:
        listener = await asyncio.start_server(_accept, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        now = 0.0
        servers = ServerTable(lambda: now)
        servers.configure(configuration())
        servers.put(server_entry("i-1", address=f"127.0.0.1:{port}"))
        servers.set_host_count(40)
        servers.set_host_count(20)
        record = servers.get(ServerId("i-1"))
        assert record is not None
        held = [await record.pool.acquire() for _ in range(2)]
        with pytest.raises(ConnectionLimitError):
            await record.pool.acquire()
        now = 61.0
        servers.refresh_shares()
        held += [await record.pool.acquire() for _ in range(2)]
        for connection in held:
            connection.abort()
        listener.close()

    asyncio.run(scenario())


def test_servers_of_a_service_follow_their_entries() -> None:
    servers = ServerTable(lambda: 0.0)
    servers.configure(configuration())
    assert _accepting(servers) == {LANGUAGE: [], PLAIN: []}
    servers.put(server_entry("i-1"))
    servers.put(server_entry("i-2"))
    assert _accepting(servers) == {LANGUAGE: ["i-1", "i-2"], PLAIN: []}
    servers.put(server_entry("i-1", state=ServerState.DRAINING))
    assert _accepting(servers) == {LANGUAGE: ["i-2"], PLAIN: []}
    servers.put(server_entry("i-2", service=PLAIN))
    assert _accepting(servers) == {LANGUAGE: [], PLAIN: ["i-2"]}
    servers.put(server_entry("i-1"))
    assert _accepting(servers) == {LANGUAGE: ["i-1"], PLAIN: ["i-2"]}
    servers.remove(ServerId("i-1"))
    servers.remove(ServerId("i-2"))
    assert _accepting(servers) == {LANGUAGE: [], PLAIN: []}
