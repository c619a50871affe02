"""Let engines hand out wrong bytes, and record what callers see."""

import asyncio
import random
import re
from dataclasses import dataclass, field
from typing import Final

from gooseberrydeal._internal.lab.router.router_cluster import (
    CALLER_HOST,
    DOMAIN,
    MODEL,
    PATH_PREFIX,
    SERVICE,
    RouterCluster,
)
from tests.lib.link_proxy import LinkProxy

_HOSTS: Final = 2
_ENGINES: Final = 3
_SLOTS: Final = 4
_ADAPTERS: Final = 9
_CALLERS: Final = 12
_SPOILED_SHARE: Final = 0.04
_CALL_SECONDS: Final = 9.0
_LOAD_FIGURE: Final = re.compile(rb"(X-Instance-Load: [0-9]+,[0-9]+,[0-9]+),100", re.I)
_STATUS: Final = re.compile(rb"^HTTP/1.1 [0-9]{3}")
_ODD_FIGURES: Final = (b"0", b"00", b"1", b"-100", b"1e306", b"9" * 400, b"", b"10000")


@dataclass
class Spoiler:
    """Change some of what servers send: a figure, a status, or any byte."""

    rng: random.Random
    is_active: bool = True
    spoiled: int = 0

    def change(self, data: bytes) -> bytes:
        if not self.is_active or self.rng.random() >= _SPOILED_SHARE:
            return data
        self.spoiled += 1
        figure = self.rng.choice(_ODD_FIGURES)
        status = b"HTTP/1.1 %03d" % self.rng.randrange(1_000)
        return self.rng.choice(
            (
                lambda: _LOAD_FIGURE.sub(rb"\g<1>," + figure, data),
                lambda: _STATUS.sub(status, data),
                lambda: self._change_byte(data),
            )
        )()

    def _change_byte(self, data: bytes) -> bytes:
        place = self.rng.randrange(len(data))
        byte = bytes([self.rng.randrange(256)])
        middle = self.rng.choice((b"", byte, data[place : place + 1] * 2))
        return data[:place] + middle + data[place + 1 :]


@dataclass
class KeptConnection:
    """Send one request after the other to a host; connect again when it closes."""

    address: str
    statuses: list[int] = field(default_factory=list)
    _streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, request_id: str, adapter: str) -> int:
        """Return the status of the reply, 0 if the connection ended without one."""
        if self._streams is None:
            host, port = self.address.rsplit(":", 1)
            self._streams = await asyncio.open_connection(host, int(port))
        status, is_whole = await self._exchange(request_id, adapter)
        self.statuses.append(status)
        if not is_whole:
            self.close()
        return status if is_whole or not status else -status

    async def _exchange(self, request_id: str, adapter: str) -> tuple[int, bool]:
        assert self._streams is not None
        reader, writer = self._streams
        lines = [
            f"POST {PATH_PREFIX}x HTTP/1.1",
            f"Host: {CALLER_HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Model: {MODEL}/{adapter}",
            "X-Token-Counts: 400,60",
            "X-Deadline-Ms: 8000",
            "Content-Length: 0",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        status = 0
        try:
            async with asyncio.timeout(_CALL_SECONDS):
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                status = int(head.split()[1])
                length = re.search(rb"content-length: ([0-9]+)", head)
                if length:
                    await reader.readexactly(int(length[1]))
                else:
                    await self._read_chunks(reader)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            return status, False
        return status, b"connection: close" not in head

    async def _read_chunks(self, reader: asyncio.StreamReader) -> None:
        size = -1
        while size:
            size = int(await reader.readuntil(b"\r\n"), 16)
            await reader.readexactly(size + 2)

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


class SpoiledPlay:
    """Send requests while some engines' answers are spoiled, and afterwards."""

    def __init__(self, seed: int, seconds: float) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self.spoiler = Spoiler(random.Random(seed + 1))
        self.cluster = RouterCluster(hosts=_HOSTS, engines=_ENGINES, slots=_SLOTS)
        self.statuses: list[int] = []
        self.never_served: set[str] = set()

    async def run(self) -> None:
        """Play all requests, then ask for each adapter until it is served."""
        await self.cluster.start()
        faulty = self._rng.sample(sorted(self.cluster.engines), _ENGINES - 1)
        proxies = [await self._stand_before(name) for name in faulty]
        try:
            await asyncio.gather(*(self._call(n) for n in range(_CALLERS)))
            self.spoiler.is_active = False
            await asyncio.gather(
                *(self._serve_all(host) for host in self.cluster.addresses.values())
            )
        finally:
            await self.cluster.stop()
            for proxy in proxies:
                await proxy.stop()

    async def _stand_before(self, name: str) -> LinkProxy:
        """Register an engine at the address of a proxy that spoils its answers."""
        target = self.cluster.engine_addresses[name]
        proxy = LinkProxy(target, change=self.spoiler.change)
        await proxy.start()
        entry = self.cluster.engines[name].entry(SERVICE, proxy.address, DOMAIN)
        self.cluster.store.put(f"servers/{name}", entry)
        return proxy

    async def _call(self, number: int) -> None:
        hosts = sorted(self.cluster.addresses.values())
        connection = KeptConnection(hosts[number % len(hosts)])
        loop = asyncio.get_running_loop()
        end, calls = loop.time() + self._seconds, 0
        while loop.time() < end:
            adapter = f"a{self._rng.randrange(_ADAPTERS)}"
            await connection.call(f"q{number}-{calls}", adapter)
            calls += 1
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))
        connection.close()
        self.statuses += connection.statuses

    async def _serve_all(self, host: str) -> None:
        connection = KeptConnection(host)
        loop = asyncio.get_running_loop()
        end, calls = loop.time() + self._seconds, 0
        wanted = {f"a{number}" for number in range(_ADAPTERS)}
        while wanted and loop.time() < end:
            for adapter in sorted(wanted):
                calls += 1
                if await connection.call(f"r{calls}-{host}", adapter) == 200:
                    wanted.discard(adapter)
            await asyncio.sleep(0.1)
        connection.close()
        self.never_served |= wanted
