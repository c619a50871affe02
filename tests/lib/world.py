"""Run keepers and an entry in memory, in virtual time."""

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime
from uuid import uuid4

from starlette.types import ASGIApp

from gooseberrydeal._internal.lab.engine_model import EngineModel
from gooseberrydeal._internal.lab.lab_configuration import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    lab_deployment,
)
from gooseberrydeal._internal.lab.lab_plan import LabPlan
from gooseberrydeal._internal.lab.store_state import StoreState
from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.answer_events import AnswerEvent
from gooseberrydeal._internal.models.ids import (
    AdapterName,
    CallerName,
    ClassName,
    OperationName,
    RequestId,
    ServiceName,
    VersionName,
)
from gooseberrydeal._internal.models.settings import (
    EntrySettings,
    KeeperSettings,
    PlatformSettings,
)
from gooseberrydeal._internal.models.work_order import WorkOrder
from gooseberrydeal._internal.network.etcd_store import EtcdStore
from gooseberrydeal._internal.network.interfaces.engine import Engine
from gooseberrydeal._internal.network.interfaces.plain_server import PlainServer
from gooseberrydeal._internal.operations.entry.entry_node import EntryNode
from gooseberrydeal._internal.operations.keeper.external_clients import ExternalClients
from gooseberrydeal._internal.operations.keeper.keeper_node import KeeperNode
from gooseberrydeal._internal.operations.publisher import Publisher
from tests.lib.fake_engine import FakeEngine, FakeEngineState
from tests.lib.fake_network import FakeNetwork
from tests.lib.fake_platform import FakeHostList, FakePlainServer, FakeWeightStore
from tests.lib.fake_store import FakeStoreSession, fake_store
from tests.lib.virtual_loop import VirtualClock

_PLATFORM_SETTINGS = PlatformSettings(
    store="http://10.0.0.1:1", hosts="http://10.0.0.1:2", weights="http://10.0.0.1:3"
)


class NullServer:
    """Replace the HTTP server without opening a socket."""

    def __init__(self, app: ASGIApp) -> None:
        self.app = app

    async def start(self) -> None:
        return

    async def stop(self) -> None:
        return

    async def abort(self) -> None:
        return


@dataclass
class FakeHost:
    """Hold a keeper and the fake clients through which it reaches other systems."""

    address: str
    session: FakeStoreSession
    keeper: KeeperNode
    engines: dict[str, list[FakeEngine]] = field(default_factory=dict)


class InMemoryCluster:
    """Run keepers and an entry over fakes of the network and the platform."""

    def __init__(
        self,
        hosts: dict[str, str] | None = None,
        plan: LabPlan | None = None,
        slots: int = 4,
    ) -> None:
        self.domains = hosts or {"h1": "d1", "h2": "d1"}
        base = plan or LabPlan(domains=("d1",), engines_per_domain=2, adapters=20)
        self.plan = replace(base, engine=EngineModel(adapter_slots=slots))
        self.clock = VirtualClock()
        self.state = StoreState(self.clock)
        self.network = FakeNetwork()
        self.host_list = FakeHostList()
        self.weights = FakeWeightStore()
        self.engines: dict[str, FakeEngineState] = {}
        self.plain_servers: dict[str, FakePlainServer] = {}
        self.server_addresses: dict[str, str] = {}
        for domain in self.plan.domains:
            self._add_servers(domain, slots)
        self.hosts: dict[str, FakeHost] = {}
        self.entry: EntryNode | None = None
        self.store, self.session = fake_store(self.state)

    def _add_servers(self, domain: str, slots: int) -> None:
        for number in range(self.plan.engines_per_domain):
            name = f"{domain}-engine{number}"
            self.server_addresses[name] = f"10.1.{len(self.server_addresses)}.1:80"
            self.engines[name] = FakeEngineState(
                slots=slots, checks_fencing=self.plan.fenced_engines
            )
        for number in range(self.plan.plain_servers_per_domain):
            name = f"{domain}-plain{number}"
            self.server_addresses[name] = f"10.1.{len(self.server_addresses)}.1:80"
            self.plain_servers[name] = FakePlainServer()

    async def start(self) -> None:
        """Publish the plan, start all hosts and wait until they can serve."""
        await self.submit()
        for host in self.domains:
            await self.start_keeper(host)
        await self.start_entry()
        await self.wait_ready()

    async def submit(self, plan: LabPlan | None = None) -> int:
        """Publish the deployment of a plan and return the revision number."""
        deployment = lab_deployment(
            plan or self.plan,
            {name: self.server_addresses[name] for name in self.engines},
            {name: self.server_addresses[name] for name in self.plain_servers},
        )
        publisher = Publisher(self.store, "test")
        current = await publisher.current()
        revision = await publisher.submit(
            deployment.entries, current.number, allow_rebase=False
        )
        return revision.number

    def address(self, host: str) -> str:
        return f"10.2.0.{sorted(self.domains).index(host) + 1}:7400"

    async def start_keeper(self, host: str) -> FakeHost:
        address = self.address(host)
        store, session = fake_store(self.state)
        engine_clients: dict[str, list[FakeEngine]] = {}
        settings = KeeperSettings(
            host=host,
            domain=self.domains[host],
            listen=address,
            operators="10.2.9.1:1",
            platform=_PLATFORM_SETTINGS,
            peers=tuple(self.address(other) for other in self.domains if other != host),
        )
        keeper = KeeperNode(
            settings,
            self._clients(store, engine_clients),
            self.network.transport(address),
            self.clock,
        )
        self.host_list.hosts[address] = "live"
        await keeper.start()
        self.hosts[host] = FakeHost(address, session, keeper, engine_clients)
        return self.hosts[host]

    def _clients(
        self, store: EtcdStore, engine_clients: dict[str, list[FakeEngine]]
    ) -> ExternalClients:
        by_address = {address: name for name, address in self.server_addresses.items()}

        def engine(address: str) -> Engine:
            name = by_address[address]
            engine_client = FakeEngine(self.engines[name])
            engine_clients.setdefault(name, []).append(engine_client)
            return engine_client

        def plain(address: str) -> PlainServer:
            return self.plain_servers[by_address[address]]

        return ExternalClients(store, self.host_list, self.weights, engine, plain)

    async def start_entry(self, name: str = "e1") -> EntryNode:
        settings = EntrySettings(
            host=name,
            domain="d1",
            listen="10.3.0.1:80",
            operators="10.3.0.1:81",
            keepers=tuple(self.address(host) for host in self.domains),
        )
        transport = self.network.transport(f"10.3.0.{name[-1]}:80")
        entry = EntryNode(settings, transport, NullServer, self.clock)
        await entry.start()
        self.entry = entry
        return entry

    async def wait_ready(self, seconds: float = 30.0) -> None:
        async with asyncio.timeout(seconds):
            while not self._is_ready():
                await asyncio.sleep(0.05)

    def _is_ready(self) -> bool:
        entry = self.entry
        if entry is None or entry.configuration.configuration is None:
            return False
        now = self.clock.monotonic()
        usable = entry.context.view.usable_servers(now)
        has_permits = all(
            h.keeper.permit_queue.pool.is_usable(now) for h in self.hosts.values()
        )
        return len(usable) >= len(self.server_addresses) and has_permits

    def owner_of(self, server: str) -> FakeHost:
        return next(h for h in self.hosts.values() if server in h.keeper.owners)

    async def crash(self, host: str, *, is_listed: bool = False) -> None:
        """Abort a keeper; unless ``is_listed``, also remove it from the host list."""
        fake_host = self.hosts.pop(host)
        if not is_listed:
            self.host_list.hosts.pop(fake_host.address, None)
        await fake_host.keeper.abort()

    def pause(self, host: str) -> None:
        """Hold back all calls and messages of a keeper, as if it were paused."""
        fake_host = self.hosts[host]
        fake_host.session.unpaused.clear()
        self.network.paused_addresses.add(fake_host.address)
        for engine_client in self._engine_clients(fake_host):
            engine_client.unpaused.clear()

    def resume(self, host: str) -> None:
        fake_host = self.hosts[host]
        fake_host.session.unpaused.set()
        self.network.paused_addresses.discard(fake_host.address)
        for engine_client in self._engine_clients(fake_host):
            engine_client.unpaused.set()

    def _engine_clients(self, host: FakeHost) -> Iterable[FakeEngine]:
        return [
            engine_client
            for engine_clients in host.engines.values()
            for engine_client in engine_clients
        ]

    async def complete(
        self,
        adapter: str = "a00001",
        version: str = "v1",
        prompt: str = "p",
        tokens: int = 4,
        deadline: float = 10.0,
        work_class: str = "short",
    ) -> list[AnswerEvent]:
        """Run a completion through the entry and return its answer events."""
        assert self.entry is not None
        body = json.dumps({"prompt": prompt, "max_tokens": tokens}).encode()
        order = WorkOrder(
            request_id=RequestId(uuid4().hex),
            caller=CallerName("counter"),
            service=ServiceName(MODEL_SERVICE),
            call="completion",
            work_class=ClassName(work_class),
            deadline=self.clock.monotonic() + deadline,
            expected_tokens=tokens,
            body=body,
            is_repeatable=True,
            adapter=AdapterRef(AdapterName(adapter), VersionName(version)),
            fingerprint=f"{adapter}{prompt}",
        )
        return [event async for event in self.entry.runner.run(order)]

    def plain_order(self, body: bytes, operation: str = "redeem") -> WorkOrder:
        """Return a request to a plain server; only ``balance`` may be repeated."""
        return WorkOrder(
            request_id=RequestId(uuid4().hex),
            caller=CallerName("counter"),
            service=ServiceName(PLAIN_SERVICE),
            call="plain",
            work_class=ClassName("short"),
            deadline=self.clock.monotonic() + 10.0,
            expected_tokens=1,
            body=body,
            is_repeatable=operation == "balance",
            operation=OperationName(operation),
        )

    def idempotency_key(self, suffix: str) -> str:
        """Return a valid idempotency key with the current time."""
        created_at = datetime.fromtimestamp(self.clock.wall(), UTC)
        return f"{created_at:%Y%m%dT%H%M%SZ}-{suffix}"

    def executions(self) -> list[bytes]:
        """Return the bodies of all requests that plain servers have run."""
        return [body for server in self.plain_servers.values() for body in server.runs]

    async def stop(self) -> None:
        if self.entry is not None:
            await self.entry.stop()
        for host in self.hosts.values():
            await host.keeper.stop()
