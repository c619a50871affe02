"""Check the JSON client over real sockets."""

import asyncio

import pytest

from gooseberrydeal._internal.exceptions import ServerBrokenError
from gooseberrydeal._internal.network.http1.json_client import JsonClient
from tests.lib.scripted_server import ReceivedRequest, ScriptedServer

_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class _StalledServer:
    """Answer the first calls, one per connection, and nothing more on these."""

    def __init__(self, first_count: int) -> None:
        self._first_count = first_count
        self._stalled: set[asyncio.StreamWriter] = set()
        self._all_received = asyncio.Event()

    async def answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if writer in self._stalled:
            return
        if not self._all_received.is_set():
            self._stalled.add(writer)
            if len(self._stalled) == self._first_count:
                self._all_received.set()
            await self._all_received.wait()
        writer.write(_RESPONSE)


def test_one_timeout_closes_all_idle_connections() -> None:
    async def scenario() -> None:
        server = await ScriptedServer(_StalledServer(first_count=3).answer).start()
        client = JsonClient(server.address, 4)
        calls = [client.call("GET", "/", None, 5.0) for _ in range(3)]
        responses = await asyncio.gather(*calls)
        assert [(r.status, r.body) for r in responses] == [(200, {})] * 3
        with pytest.raises(ServerBrokenError):
            await client.call("GET", "/", None, 0.05)
        response = await client.call("GET", "/", None, 5.0)
        assert (response.status, response.body) == (200, {})
        client.close()
        await server.stop()

    asyncio.run(scenario())
