"""Run routers before plain servers that pause in the middle of their answers."""

import asyncio

from tests.lib.crash_cluster import CALLER_HOST
from tests.lib.crashing_server import CrashingServer
from tests.lib.partition_cluster import PartitionCluster
from tests.lib.silent_scripts import SOUND_SILENCE_SECONDS


class PausingServer(CrashingServer):
    """Write the last byte of each answer only after a pause."""

    silence_seconds = 0.0

    async def _write_answer(self, answer: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(answer[:-1])
        await writer.drain()
        await asyncio.sleep(self.silence_seconds)
        writer.write(answer[-1:])


class SilentCluster(PartitionCluster):
    """Let all servers fall silent in the middle of their answers on request."""

    server_class = PausingServer

    def fall_silent(self) -> None:
        """Make the servers pause for as long as sound servers may."""
        for server in self.servers:
            assert isinstance(server, PausingServer)
            server.silence_seconds = SOUND_SILENCE_SECONDS

    async def fetch(self, host: str, body: bytes) -> bytes:
        """Return all bytes of the response to a request that may be repeated."""
        reader, writer = await asyncio.open_connection(*self.address_of(host))
        writer.write(
            b"POST /quick/a HTTP/1.1\r\nHost: %b\r\nX-Request-Id: %b\r\n"
            b"X-Deadline-Ms: 3000\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
            % (CALLER_HOST.encode(), body, len(body), body)
        )
        try:
            return await reader.read()
        finally:
            writer.close()
