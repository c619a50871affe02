"""Run routers with client accounts whose paths to the store and servers can be cut."""

import asyncio
import json
import time
from collections.abc import Iterable, Mapping

from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.utils.clock import SystemClock
from tests.lib.crash_cluster import encode_configuration
from tests.lib.link_proxy import LinkProxy, LinkState
from tests.lib.partition_cluster import PartitionCluster

# Serves the calls that wait until a cluster has started; not in any test's accounts.
STARTER = "starter"
STARTER_KEY = "starter-key-11"


class SuspendableClock(SystemClock):
    """Add the time for which a host was suspended to the clock that counts it."""

    def __init__(self) -> None:
        self.suspended = 0.0

    def seconds_since_boot(self) -> float:
        return super().seconds_since_boot() + self.suspended


class AccountCluster(PartitionCluster):
    """Declare accounts, each a name and its keys, besides the one of the starter."""

    bounds = RoutingBounds(has_strict_revocation=True)

    def __init__(
        self,
        accounts: Mapping[str, Iterable[str]],
        hosts: int = 4,
        servers: int = 2,
        open_prefixes: Iterable[str] = (),
    ) -> None:
        super().__init__(hosts=hosts, servers=servers)
        self._accounts = accounts
        self._open_prefixes = set(open_prefixes)
        self._version = 0
        self._store_links: dict[str, LinkProxy] = {}
        self.ranks: dict[str, int] = {}
        self.clocks: dict[str, SuspendableClock] = {}

    async def __aexit__(self, *exc: object) -> None:
        await super().__aexit__(*exc)
        for link in self._store_links.values():
            await link.stop()

    def declare(self, accounts: Mapping[str, Iterable[str]]) -> float:
        """Declare other accounts; return the time of the acknowledgement."""
        self._accounts = accounts
        self.store.put("op/config", self._configuration())
        return time.monotonic()

    async def cut_store(self, hosts: Iterable[str], state: LinkState) -> None:
        """Cut some hosts from the store, or heal their links."""
        for host in hosts:
            await self._store_links[host].cut(state)

    async def status(
        self, host: str, key: str | None, path: str = "/safe/a", body: bytes = b"x"
    ) -> int:
        """Send a request with a key, or without; return the status."""
        return (await self.call_with(host, key, path, body))[0]

    async def final(
        self, host: str, key: str | None, path: str = "/safe/a", body: bytes = b"x"
    ) -> int:
        """Send a request again while a host cannot tell, which says 503."""
        while (found := await self.status(host, key, path, body)) == 503:
            await asyncio.sleep(0.05)
        return found

    async def call_with(
        self, host: str, key: str | None, path: str = "/safe/a", body: bytes = b"x"
    ) -> tuple[int, dict[str, str]]:
        """Send a request with a key, or without; return the status and the fields."""
        fields = {} if key is None else {"Authorization": f"Bearer {key}"}
        return await super().call(host, body, path, **fields)

    async def call(
        self,
        host: str,
        body: bytes,
        path: str = "/safe/a",
        method: str = "POST",
        **fields: str,
    ) -> tuple[int, dict[str, str]]:
        """Send a request with the starter's key, unless another one is given."""
        fields = {"Authorization": f"Bearer {STARTER_KEY}", **fields}
        return await super().call(host, body, path, method, **fields)

    async def until_status(self, key: str | None, status: int, path: str) -> float:
        """Call all hosts until each answers so; return the time of the last one."""
        for host in self.host_names:
            while await self.status(host, key, path) != status:
                await asyncio.sleep(0.05)
        return time.monotonic()

    def heads_of(self, body: bytes) -> list[bytes]:
        """Return the heads with which requests of a body arrived at servers."""
        return [
            head.lower()
            for server in self.servers
            for head, (arrived, _) in zip(server.heads, server.arrivals, strict=True)
            if arrived == body
        ]

    async def _store_address_of(self, host: str) -> str:
        if host not in self._store_links:
            self._store_links[host] = LinkProxy(self._store_address)
            await self._store_links[host].start()
        return self._store_links[host].address

    def _clock(self, host: str) -> SystemClock:
        return self.clocks.setdefault(host, SuspendableClock())

    def _configuration(self) -> bytes:
        self._version += 1
        tenants: list[dict[str, object]] = [{"name": STARTER, "apiKeys": [STARTER_KEY]}]
        tenants += [
            {"name": name, "apiKeys": list(keys), "priority": self.ranks.get(name)}
            for name, keys in self._accounts.items()
        ]
        data = json.loads(
            encode_configuration(self.max_connections, self._version, tenants=tenants)
        )
        for route in data["routes"]:
            route["anonymous"] = route["name"] in self._open_prefixes
        return json.dumps(data).encode()
