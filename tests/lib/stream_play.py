"""Send streams to hosts that are disturbed at random, from one seed."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from tests.lib.crash_cluster import CrashCluster
from tests.lib.crashing_server import EVENTS, CrashingServer
from tests.lib.stream_caller import StreamCaller

_VERSIONS = ("v1", "v1.1")
_NEXT_VERSION = "v2"
_HOSTS = 4
_SERVERS = 6
_STREAM_INTERVAL_SECONDS = 0.02
_ATTEMPTS = 4
# The platform's bound on how long machines must be undisturbed to be in touch, and
# time for servers to register.
_CALM_SECONDS = 3.0 + 1.5


class StreamPlay:
    """Break off each new stream midway, and let its caller take it up elsewhere.

    Meanwhile hosts are killed, servers crash, leave, are released and come back under
    their id as another version, and the store is away, one or several at a time.
    """

    def __init__(self, seed: int, path: str, streams: int) -> None:
        self._rng = random.Random(seed)
        self._path = path
        self._streams = streams
        self._is_disturbed = True
        self.cluster = CrashCluster(
            hosts=_HOSTS,
            servers=_SERVERS,
            down_seconds=self._rng.choice([0.2, 0.5, 1.0]),
        )
        self.disturbed: list[StreamCaller] = []
        self.calm: list[StreamCaller] = []

    async def run(self) -> None:
        """Play all streams, then some more once nothing is disturbed any more."""
        for server in self.cluster.servers:
            server.resets_streams = True
        self._set_first_versions()
        async with self.cluster:
            disturbances = [asyncio.create_task(self._disturb()) for _ in range(2)]
            self.disturbed = await self._send(self._streams)
            self._is_disturbed = False
            await asyncio.gather(*disturbances)
            for server in self._set_first_versions():
                server.crash()
            await asyncio.sleep(self.cluster.servers[0].down_seconds + _CALM_SECONDS)
            self.calm = await self._send(self._streams // 10)

    async def _send(self, count: int) -> list[StreamCaller]:
        callers = [StreamCaller(self.cluster, self._path) for _ in range(count)]
        await asyncio.gather(*map(self._call, callers, range(count)))
        return callers

    async def _call(self, caller: StreamCaller, number: int) -> None:
        await asyncio.sleep(number * _STREAM_INTERVAL_SECONDS)
        for _ in range(_ATTEMPTS):
            if caller.last_event < EVENTS:
                await caller.attempt(self._rng.choice(self.cluster.host_names))

    def _set_first_versions(self) -> list[CrashingServer]:
        """Return the servers that had another version."""
        changed = []
        for number, server in enumerate(self.cluster.servers):
            version = _VERSIONS[number % len(_VERSIONS)]
            if server.version != version:
                server.version = version
                changed.append(server)
        return changed

    async def _disturb(self) -> None:
        actions: list[Callable[[], Awaitable[None]]] = [
            self._kill_one_host,
            self._kill_several_hosts,
            self._crash_server,
            self._release_server,
            self._change_version_under_id,
            self._change_version_under_id,
            self._remove_entry,
            self._stop_store,
        ]
        while self._is_disturbed:
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
            await self._rng.choice(actions)()

    async def _kill_one_host(self) -> None:
        await self._kill(self._rng.sample(self.cluster.host_names, 1))

    async def _kill_several_hosts(self) -> None:
        await self._kill(self._rng.sample(self.cluster.host_names, _HOSTS - 1))

    async def _kill(self, names: list[str]) -> None:
        killed = []
        for name in names:
            if name in self.cluster.nodes:
                killed.append(name)
                await self.cluster.kill_host(name)
        await asyncio.sleep(self._rng.uniform(0.0, 0.6))
        for name in killed:
            await self.cluster.start_host(name)

    async def _crash_server(self) -> None:
        self._rng.choice(self.cluster.servers).crash()

    async def _release_server(self) -> None:
        self._end(_NEXT_VERSION, keeps_id=False)

    async def _change_version_under_id(self) -> None:
        self._end(self._rng.choice(_VERSIONS), keeps_id=True)

    def _end(self, next_version: str, *, keeps_id: bool) -> None:
        server = self._rng.choice(self.cluster.servers)
        if server.is_running:
            server.keeps_id = keeps_id
            server.version = next_version
            server.crash()

    async def _remove_entry(self) -> None:
        """Let a server leave that serves on for a while, as some do."""
        server = self._rng.choice(self.cluster.servers)
        if server.is_running:
            self.cluster.store.remove(f"servers/{server.id}")
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            server.keeps_id = False
            server.crash()

    async def _stop_store(self) -> None:
        self.cluster.store.set_unavailable(is_unavailable=True)
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        self.cluster.store.set_unavailable(is_unavailable=False)
