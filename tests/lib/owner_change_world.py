"""Run hosts that own several engines and report to each other, in memory."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_order import (
    AdapterOrder,
    OrderOutcome,
)
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.network.report_codec import decode_report
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.ownership.engine_ownership import (
    EngineOwnership,
)
from gooseberrydeal._internal.operations.router.report_exchange import ReportExchange
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from tests.lib.fake_engine_orders import FakeAdapterEngine, FakeEngineOrders
from tests.lib.fake_metadata_store import StoreData
from tests.lib.owner_world import HANDOVER_GAP_SECONDS, OwnerHost
from tests.lib.routing_builders import MODEL, copy_key

SLOTS = 8
_FIRST_PORT = 7000
_DELAY_SECONDS = 0.001
_CHECK_INTERVAL_SECONDS = 0.05
# Owners expect a load to take longer than it may, and tell of it with the next status.
_NEWS_SECONDS = 1.0


class _OrdersByEngine:
    """Pass the orders of one host on to the engine that they are for."""

    def __init__(self, engines: dict[ServerId, FakeAdapterEngine]) -> None:
        clock = asyncio.get_running_loop().time
        self._orders = {
            server: FakeEngineOrders(engine, clock)
            for server, engine in engines.items()
        }

    def cut(self, *, is_cut: bool) -> None:
        """Cut the host from all engines' reports and orders, or heal that."""
        for orders in self._orders.values():
            orders.is_unreachable = is_cut

    async def report(self, server: ServerEntry) -> EngineReport:
        return await self._orders[server.id].report(server)

    async def order(self, server: ServerEntry, order: AdapterOrder) -> OrderOutcome:
        return await self._orders[server.id].order(server, order)


class ReportingHost(OwnerHost):
    """Own engines, and use some copies on each."""

    def __init__(self, number: int, world: "OwnerChangeWorld", start: int = 1) -> None:
        name = f"h{number}"
        first = next(iter(world.engines.values()))
        address = f"127.0.0.1:{_FIRST_PORT + number}"
        super().__init__(name, world.data, first, number=start, address=address)
        clock = asyncio.get_running_loop().time
        self.engine_orders = _OrdersByEngine(world.engines)
        self.exchange = ReportExchange(
            self.member, self.view, self.servers, ChangeSignal(), clock
        )
        self.ownership = EngineOwnership(
            self.member,
            self.store,
            self.engine_orders,
            self.view,
            self.servers,
            self.lease,
            HANDOVER_GAP_SECONDS,
            self.exchange.publish,
            clock,
        )
        self.exchange.set_ownership(self.ownership)
        self.exchange._socket = cast(
            Any, SimpleNamespace(send=lambda *args: world.send(self.name, *args))
        )
        self._tasks.start(self.exchange.run(), "reports")

    def has_status(self, server: ServerId) -> bool:
        """Return whether an owner has told this host of an engine since its start."""
        found = self.servers.get(server)
        return found is not None and found.owner.status is not None

    def record(self, server: ServerId) -> ServerRecord:
        found = self.servers.get(server)
        assert found is not None
        return found


class OwnerChangeWorld:
    """Connect hosts, the first of which owns all engines, each with some copies.

    Hosts in ``silent`` neither send nor receive datagrams. ``unseen`` lists what hosts
    did not see as ready although the engine holds it: the time since the change of
    owner, the host, the engine and the copy.
    """

    def __init__(self, hosts: int, engines: int, copies: int = 3) -> None:
        self.data = StoreData()
        self.data.write("configuration", b"1", None)
        self.engines: dict[ServerId, FakeAdapterEngine] = {}
        for number in range(engines):
            server = ServerId(f"i-{number}")
            self.engines[server] = FakeAdapterEngine(
                SLOTS,
                base_models={MODEL},
                copies={copy_key(f"a{number}.{n}"): 0.0 for n in range(copies)},
            )
            self.data.write(f"servers/{server}", b"1", None)
        self.silent: set[str] = set()
        self.unseen: set[tuple[float, str, ServerId, str]] = set()
        self.hosts: list[ReportingHost] = []
        self._host_count = hosts

    async def start(self) -> None:
        """Start the first host, which claims all engines, and then the others."""
        for number in range(self._host_count):
            self.hosts.append(ReportingHost(number, self))
            self.hosts[-1].start()
            if number == 0:
                await asyncio.sleep(2.0)
        await asyncio.sleep(3.0)
        for host in self.hosts:
            for server, engine in self.engines.items():
                for copy in engine.copies:
                    host.record(server).begin(copy, 10, 5)
        await asyncio.sleep(3.0)
        assert self.owners() == {"h0"}
        assert not self._unseen_now(0.0)

    async def stop(self) -> None:
        for host in self.hosts:
            await host.kill()

    def owners(self) -> set[str]:
        """Return the hosts that own engines, by their own knowledge."""
        return {host.name for host in self.hosts if host.ownership.owners}

    def send(self, sender: str, data: bytes, address: str) -> None:
        """Deliver a datagram between two hosts that are not silent."""
        found = {host.member.address: host for host in self.hosts}
        receiver = found.get(address)
        if receiver is None or self.silent & {receiver.name, sender}:
            return
        report = decode_report(data)
        assert report is not None
        loop = asyncio.get_running_loop()
        loop.call_later(_DELAY_SECONDS, receiver.exchange._on_report, report)

    def cut_off(self, host: ReportingHost, *, also_from_hosts: bool) -> None:
        """Cut a host from the store, and also from the other hosts."""
        host.store.is_cut = True
        if also_from_hosts:
            self.silent.add(host.name)

    def heal(self, host: ReportingHost) -> None:
        """End the cut of a host."""
        host.store.is_cut = False
        self.silent.discard(host.name)

    async def kill(self, host: ReportingHost) -> None:
        """End a host as if its process was killed."""
        self.hosts.remove(host)
        await host.kill()

    async def restart(self, host: ReportingHost) -> ReportingHost:
        """Kill a host and start it again under its name."""
        await self.kill(host)
        self.hosts.insert(0, ReportingHost(int(host.name[1:]), self, start=2))
        self.hosts[0].start()
        return self.hosts[0]

    async def watch(self, seconds: float) -> None:
        """Check again and again what hosts see, and add to ``unseen``."""
        clock = asyncio.get_running_loop().time
        started_at = clock()
        while clock() < started_at + seconds:
            self.unseen |= self._unseen_now(round(clock() - started_at, 1))
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)

    def _unseen_now(self, at: float) -> set[tuple[float, str, ServerId, str]]:
        now = asyncio.get_running_loop().time()
        return {
            (at, host.name, server, copy.adapter)
            for host in self.hosts
            for server, engine in self.engines.items()
            if host.has_status(server)
            for copy, ready_at in engine.copies.items()
            if ready_at + _NEWS_SECONDS <= now
            and host.record(server).copy_state(copy, now) is not CopyState.READY
        }
