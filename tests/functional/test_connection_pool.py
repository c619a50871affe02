"""Check over real sockets that a pool keeps to its share of a server's connections."""

import asyncio

import pytest

from gooseberrydeal._internal.exceptions import ConnectionLimitError
from gooseberrydeal._internal.network.http1.connection_pool import ConnectionPool
from tests.lib.scripted_server import ReceivedRequest, ScriptedServer, response


async def _answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response())


def test_idle_connections_and_probes_count_towards_the_limit() -> None:
    # Idle connections of probes, and those above a lowered limit, stayed open: all
    # hosts together had more than the server accepts, which reset some.
    async def scenario() -> None:
        server = await ScriptedServer(_answer).start()
        pool = ConnectionPool(server.address, 3)
        held = [await pool.acquire() for _ in range(2)]
        pool.release(held[1])
        await pool.probe()
        await pool.probe()
        # One in use and two idle ones: the idle one unused for longest gave way.
        assert [connection.is_open for connection in held] == [True, False]
        held += [await pool.acquire() for _ in range(2)]
        with pytest.raises(ConnectionLimitError):
            await pool.acquire()
        pool.close()
        for connection in held:
            connection.abort()
        await server.stop()

    asyncio.run(scenario())


def test_a_lowered_limit_closes_the_connections_unused_for_longest() -> None:
    async def scenario() -> None:
        server = await ScriptedServer(_answer).start()
        pool = ConnectionPool(server.address, 4)
        held = [await pool.acquire() for _ in range(4)]
        for connection in held:
            pool.release(connection)
        pool.set_limit(2)
        assert [connection.is_open for connection in held] == [False] * 2 + [True] * 2
        pool.close()
        await server.stop()

    asyncio.run(scenario())
