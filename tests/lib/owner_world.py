"""Run hosts that own engines, over one metadata store and engine in memory."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.models.routing.owner_handover import OwnerHandover
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.models.routing.usage_report import (
    CopyLoadRequest,
    CopyUse,
    EngineUsage,
)
from gooseberrydeal._internal.network.report_codec import decode_report
from gooseberrydeal._internal.operations.router.known_state_writer import (
    KnownStateWriter,
)
from gooseberrydeal._internal.operations.router.lease_keeper import LeaseKeeper
from gooseberrydeal._internal.operations.router.metadata_follower import (
    MetadataFollower,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.ownership.engine_ownership import (
    EngineOwnership,
)
from gooseberrydeal._internal.operations.router.ownership.handover_exchange import (
    HandoverExchange,
)
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.lost_writes import LostWrites
from gooseberrydeal._internal.utils.tasks import TaskOwner
from tests.lib.decoder_keys import DecoderKeys
from tests.lib.fake_engine_orders import FakeAdapterEngine, FakeEngineOrders
from tests.lib.fake_metadata_store import FakeMetadataStore, StoreData
from tests.lib.host_freezer import HostFreezer, OutsideCalls
from tests.lib.routing_builders import (
    MODEL,
    configuration,
    copy_key,
    membership,
    server_entry,
)

SERVER = ServerId("i-1")
HANDOVER_GAP_SECONDS = 3.0
_DATAGRAM_SECONDS = 0.001


class FakeDecoder(DecoderKeys):
    """Decode the configuration, and server entries that hold a start time."""

    def __init__(self, engine: FakeAdapterEngine) -> None:
        self._engine = engine

    def configuration(self, item: StoreItem) -> RoutingConfiguration | None:
        if item.key != "configuration":
            return None
        return configuration(slots=self._engine.slots)

    def without_keys(self, value: bytes) -> bytes:
        return value

    def adapter_version(self, item: StoreItem) -> None:
        return None

    def server_id(self, key: str) -> ServerId | None:
        return ServerId(key[8:]) if key.startswith("servers/") else None

    def server_key(self, server: ServerId) -> str:
        return f"servers/{server}"

    def server(self, server: ServerId, value: bytes) -> ServerEntry:
        return server_entry(server, started_at=int(value), held=None)


class OwnerHost:
    """Run the metadata follower, the lease and the engine owners of one host."""

    def __init__(
        self,
        name: str,
        data: StoreData,
        engine: FakeAdapterEngine,
        *,
        is_first_start: bool = True,
        number: int = 1,
        address: str = "127.0.0.1:9",
        freezer: HostFreezer | None = None,
    ) -> None:
        clock: Callable[[], float] = asyncio.get_running_loop().time
        self.name = name
        self._data = data
        self._engine = engine
        self._number = number
        self.freezer = freezer
        member = replace(membership(name, number=number), address=address)
        self.store = FakeMetadataStore(data)
        self.orders = FakeEngineOrders(engine, clock)
        store: Any = self.store if freezer is None else OutsideCalls(self.store)
        orders: Any = self.orders if freezer is None else OutsideCalls(self.orders)
        self.view = MetadataView()
        self.servers = ServerTable(clock)
        self.statuses: list[EngineStatus] = []
        self.lease = LeaseKeeper(store, member, clock, lambda: None)
        self.ownership = EngineOwnership(
            member,
            store,
            orders,
            self.view,
            self.servers,
            self.lease,
            HANDOVER_GAP_SECONDS,
            lambda status, audience: self.statuses.append(status),
            clock,
        )
        self.member = member
        self.is_cut_from_hosts = False
        self.network: dict[str, OwnerHost] = {}
        self.handover = HandoverExchange(
            member,
            self.view,
            self.servers,
            self.ownership,
            self._send_datagram,
            clock,
        )
        lost_writes = LostWrites()
        self.writer = KnownStateWriter(member, store, self.view, lost_writes, clock)
        self.follower = MetadataFollower(
            store,
            FakeDecoder(engine),
            self.view,
            self.servers,
            lost_writes,
            clock,
            self._metadata_changed,
            lambda item: None,
            is_first_start=is_first_start,
        )
        self._tasks = TaskOwner()

    def start(self) -> "OwnerHost":
        if self.freezer is None:
            self._start()
        else:
            self.freezer.call(self._start)
        return self

    def _start(self) -> None:
        self._tasks.start(self.follower.run(), "follower")
        self._tasks.start(self.lease.run(), "lease")
        self._tasks.start(self.ownership.run(), "ownership")
        self._tasks.start(self.handover.run(), "handover")
        self._tasks.start(self.writer.run(), "known state")

    def join(self, network: dict[str, "OwnerHost"]) -> "OwnerHost":
        """Exchange datagrams with the hosts of a network."""
        self.network = network
        network[self.member.address] = self
        return self

    def _send_datagram(self, data: bytes, address: str) -> None:
        target = self.network.get(address)
        if target is None or target.is_cut_from_hosts or self.is_cut_from_hosts:
            return
        report = decode_report(data)
        assert isinstance(report, OwnerHandover)
        loop = asyncio.get_running_loop()
        loop.call_later(_DATAGRAM_SECONDS, target.receive, report)

    def receive(self, report: OwnerHandover) -> None:
        """Take a datagram of another host."""
        if self.freezer is None:
            self.handover.message_received(report)
        else:
            self.freezer.call(self.handover.message_received, report)

    def _metadata_changed(self) -> None:
        self.ownership.metadata_changed()
        self.writer.metadata_changed()

    async def kill(self) -> None:
        """Stop all tasks without releasing the lease or the owner records."""
        if self.freezer is not None:
            self.freezer.thaw()
        await self.handover.stop()
        await self.ownership.stop()
        await self._tasks.stop()

    def restarted(self) -> "OwnerHost":
        """Start a new process of this host, which was killed, in the same network."""
        host = OwnerHost(
            self.name,
            self._data,
            self._engine,
            is_first_start=False,
            number=self._number + 1,
            address=self.member.address,
            freezer=None if self.freezer is None else HostFreezer(),
        )
        if self.network:
            host.join(self.network)
        return host.start()

    def report(self, usage: EngineUsage) -> None:
        """Pass a usage report to the owner, which must be on this host."""
        self.ownership.owners[SERVER].apply_usage(membership("asker").host, usage)

    @property
    def is_owner(self) -> bool:
        return SERVER in self.ownership.owners

    def report_copies(
        self,
        load_requests: list[AdapterCopyKey],
        copy_uses: dict[AdapterCopyKey, int] | None = None,
    ) -> None:
        """Report wanted and used copies to the owner if it is on this host."""
        owner = self.ownership.owners.get(SERVER)
        if owner is None:
            return
        usage = EngineUsage(
            SERVER,
            0,
            0,
            0,
            copy_uses=tuple(CopyUse(key, n, n) for key, n in (copy_uses or {}).items()),
            load_requests=tuple(CopyLoadRequest(key, 1) for key in load_requests),
        )
        owner.apply_usage(membership("asker").host, usage)


def new_store_data() -> StoreData:
    """Return store data with a configuration and the entry of one engine."""
    data = StoreData()
    data.write("configuration", b"1", None)
    data.write(f"servers/{SERVER}", b"1", None)
    return data


def write_platform_entries(data: StoreData, engine: FakeAdapterEngine) -> None:
    """Write again what the platform wrote, as it does after a restoration."""
    data.write("configuration", b"1", None)
    data.write(f"servers/{SERVER}", b"%d" % engine.started_at, None)


def new_engine(slots: int = 4) -> FakeAdapterEngine:
    """Return an engine with its base model loaded."""
    return FakeAdapterEngine(slots, base_models={MODEL})


async def report_demand(hosts: list[OwnerHost], seconds: float, first: int) -> None:
    """Report demand for one new adapter after the other, every 0.2 s."""
    for step in range(int(seconds / 0.2)):
        for host in hosts:
            host.report_copies([copy_key(f"a{first + step}")])
        await asyncio.sleep(0.2)


def check_orders(engine: FakeAdapterEngine) -> None:
    """Check that fencing numbers never fall and holders do not take turns."""
    for (before_at, before), (at, order) in zip(
        engine.log, engine.log[1:], strict=False
    ):
        assert order.fencing_number >= before.fencing_number
        if order.holder != before.holder:
            assert order.fencing_number > before.fencing_number
            assert at - before_at >= HANDOVER_GAP_SECONDS
