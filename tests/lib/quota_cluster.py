"""Run routers whose accounts have quotas, over real sockets."""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from gooseberrydeal._internal.models.routing.account_directory import (
    AccountDirectory,
    key_digest,
)
from gooseberrydeal._internal.models.routing.client_account import ClientAccount
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.network.interfaces.metadata_decoder import (
    MetadataDecoder,
)
from gooseberrydeal._internal.platform.metadata_names import PlatformMetadataCodec
from tests.lib.crash_cluster import CrashCluster


@dataclass(slots=True)
class Accounts:
    """Hold the accounts that the configuration has from ``version`` on."""

    accounts: tuple[ClientAccount, ...]
    version: int = 1


class AccountEntries(PlatformMetadataCodec):
    """Add accounts to the configuration, whose keys are their names."""

    def __init__(self, accounts: Accounts) -> None:
        self._accounts = accounts

    def configuration(self, item: StoreItem) -> RoutingConfiguration | None:
        found = super().configuration(item)
        if found is None:
            return None
        accounts = self._accounts.accounts
        keys = {key_digest(item.name.encode()): item for item in accounts}
        directory = AccountDirectory(accounts, keys)
        return replace(found, version=self._accounts.version, accounts=directory)


class QuotaCluster(CrashCluster):
    """Hold four hosts; datagrams from and to those in ``cut`` are lost."""

    def __init__(self, bounds: RoutingBounds, *accounts: ClientAccount) -> None:
        super().__init__(hosts=4, servers=3, service_seconds=0.005)
        self.bounds = bounds
        self.accounts = Accounts(accounts)
        self.cut: set[str] = set()
        self.outcomes: list[tuple[float, str, str, int]] = []

    async def start_host(self, name: str) -> None:
        await super().start_host(name)
        node = self.nodes[name]
        node.apply(replace(node._settings, bounds=self.bounds))
        send = node._report_exchange._socket.send

        def send_if_connected(data: bytes, address: str) -> None:
            receivers = {n for n, peer in self._peers.items() if peer == address}
            if not self.cut & {name, *receivers}:
                send(data, address)

        node._report_exchange._socket.send = send_if_connected  # type: ignore[method-assign]

    async def _serves(self, name: str) -> bool:
        account = self.accounts.accounts[0].name
        return await self._status(account, name) == 200

    async def _decoder(self, host: str) -> MetadataDecoder:
        return AccountEntries(self.accounts)

    def change(self, *accounts: ClientAccount) -> None:
        """Replace the accounts by a new version of the configuration."""
        self.accounts.accounts = accounts
        self.accounts.version += 1
        value = self.store._items["op/config"].value
        self.store.put("op/config", value)

    async def load(
        self,
        account: str,
        rate: float,
        seconds: float,
        hosts: Iterable[str] | None = None,
        moves_every: float | None = None,
    ) -> None:
        """Send requests of an account to the hosts in turn, or to one at a time."""
        names = list(hosts or self.host_names)
        loop = asyncio.get_running_loop()
        running: list[asyncio.Task[None]] = []
        began_at, number = loop.time(), 0
        while (elapsed := loop.time() - began_at) < seconds:
            due = int(elapsed * rate)
            while number < due:
                number += 1
                place = number if moves_every is None else int(elapsed / moves_every)
                call = self._call_for(account, names[place % len(names)])
                running.append(asyncio.create_task(call))
            await asyncio.sleep(0.005)
        await asyncio.gather(*running)

    async def until_granted(self, account: str) -> None:
        """Wait until all hosts get tokens of an account."""
        for name in self.host_names:
            while (await self._status(account, name)) != 200:
                await asyncio.sleep(0.1)

    def count(self, account: str, status: int, since: float = 0.0) -> int:
        return sum(
            (name, found) == (account, status) and at >= since
            for at, name, _, found in self.outcomes
        )

    def ran(self, account: str) -> list[float]:
        """Return when the servers ran an account's requests."""
        mark = account.encode() + b" "
        return sorted(
            at
            for server in self.servers
            for body, at in server.arrivals
            if body.startswith(mark)
        )

    async def _call_for(self, account: str, host: str) -> None:
        at = asyncio.get_running_loop().time()
        try:
            status = await self._status(account, host)
        except OSError:
            status = 0
        self.outcomes.append((at, account, host, status))

    async def _status(self, account: str, host: str) -> int:
        body = f"{account} {random.getrandbits(60)}".encode()
        fields = {"Authorization": f"Bearer {account}"}
        return (await self.call(host, body, "/safe/a", **fields))[0]


def worst_window(times: list[float], window: float) -> int:
    """Return the most requests that ran in a window."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        most = max(most, last - first + 1)
    return most
