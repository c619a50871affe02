"""Run a whole deployment with stand-in servers in one process."""

import asyncio
from typing import Final

from gooseberrydeal._internal.lab.free_port import LOOPBACK, free_address
from gooseberrydeal._internal.lab.lab_configuration import lab_deployment
from gooseberrydeal._internal.lab.lab_engine import LabEngine
from gooseberrydeal._internal.lab.lab_plan import LabPlan
from gooseberrydeal._internal.lab.platform_app import PlatformApp
from gooseberrydeal._internal.lab.service_app import ServiceApp
from gooseberrydeal._internal.lab.store_state import StoreState
from gooseberrydeal._internal.lab.weight_store_state import WeightStoreState
from gooseberrydeal._internal.models.settings import (
    CtlSettings,
    EntrySettings,
    KeeperSettings,
    PlatformSettings,
)
from gooseberrydeal._internal.network.etcd_store import EtcdStore
from gooseberrydeal._internal.network.http_server import HttpServer
from gooseberrydeal._internal.operations.entry.entry_node import EntryNode
from gooseberrydeal._internal.operations.keeper.keeper_node import KeeperNode
from gooseberrydeal._internal.operations.publisher import Publisher
from gooseberrydeal._internal.utils.clock import SystemClock

_READY_TIMEOUT_SECONDS: Final = 20.0
_POLL_INTERVAL_SECONDS: Final = 0.05


class LabCluster:
    """Run stand-ins, keepers and entries that communicate over real sockets."""

    def __init__(self, plan: LabPlan) -> None:
        self._plan = plan
        self._clock = SystemClock()
        self._platform = PlatformApp(
            StoreState(self._clock),
            WeightStoreState(
                self._clock,
                loads_per_second=plan.loads_per_second,
                fetch_parallelism=plan.loads_at_full_speed,
                install_parallelism=plan.loads_in_flight,
                load_seconds=plan.load_seconds,
            ),
        )
        self._platform_server = HttpServer(self._platform.app(), LOOPBACK, 0)
        self._engines: dict[str, LabEngine] = {}
        self._services: dict[str, ServiceApp] = {}
        self._service_servers: dict[str, HttpServer] = {}
        self._keepers: dict[str, KeeperNode] = {}
        self._entries: dict[str, EntryNode] = {}
        self._keeper_settings: dict[str, KeeperSettings] = {}
        self._entry_settings: dict[str, EntrySettings] = {}

    @property
    def plan(self) -> LabPlan:
        """Return the plan that the cluster was built from."""
        return self._plan

    @property
    def platform(self) -> PlatformApp:
        """Return the platform stand-in."""
        return self._platform

    @property
    def engines(self) -> dict[str, LabEngine]:
        """Return the engine stand-ins by server name."""
        return self._engines

    @property
    def services(self) -> dict[str, ServiceApp]:
        """Return the plain service stand-ins by server name."""
        return self._services

    @property
    def keepers(self) -> dict[str, KeeperNode]:
        """Return the keepers by host."""
        return self._keepers

    @property
    def entries(self) -> dict[str, EntryNode]:
        """Return the entries by host."""
        return self._entries

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform stand-in."""
        return f"http://{LOOPBACK}:{self._platform_server.port}"

    @property
    def entry_urls(self) -> list[str]:
        """Return the base URLs at which the entries accept callers."""
        return [f"http://{item.listen}" for item in self._entry_settings.values()]

    def ctl_settings(self, author: str = "lab") -> CtlSettings:
        """Return settings for ``gooseberry-ctl``."""
        keepers = tuple(item.listen for item in self._keeper_settings.values())
        return CtlSettings(
            platform=self._platform_settings(), keepers=keepers, author=author
        )

    @property
    def keeper_settings(self) -> dict[str, KeeperSettings]:
        """Return the settings of the keepers by host."""
        return self._keeper_settings

    @property
    def entry_settings(self) -> dict[str, EntrySettings]:
        """Return the settings of the entries by host."""
        return self._entry_settings

    async def start_stand_ins(self) -> None:
        """Start the stand-ins, publish the configuration and prepare host settings."""
        await self._start_servers()
        await self.submit()
        self._prepare_host_settings()

    async def start(self) -> None:
        """Start everything and wait until requests can be served."""
        await self.start_stand_ins()
        for host in self._keeper_settings:
            await self.start_keeper(host)
        for host in self._entry_settings:
            await self.start_entry(host)
        await self.wait_ready()

    async def submit(self) -> int:
        """Publish the configuration that the plan describes; return its revision."""
        store = EtcdStore.from_url(self.platform_url)
        try:
            publisher = Publisher(store, "lab")
            deployment = lab_deployment(
                self._plan,
                {name: engine.address for name, engine in self._engines.items()},
                {
                    name: f"{LOOPBACK}:{server.port}"
                    for name, server in self._service_servers.items()
                },
            )
            current = await publisher.current()
            revision = await publisher.submit(
                deployment.entries, current.number, allow_rebase=False
            )
            return revision.number
        finally:
            await store.close()

    async def start_keeper(self, host: str) -> KeeperNode:
        """Start a new keeper on a host and list the host as live."""
        settings = self._keeper_settings[host]
        keeper = KeeperNode.from_settings(settings, self._clock)
        await keeper.start()
        self._keepers[host] = keeper
        self._platform.hosts[settings.listen] = "live"
        return keeper

    async def start_entry(self, host: str) -> EntryNode:
        """Start a new entry on a host."""
        entry = EntryNode.from_settings(self._entry_settings[host], self._clock)
        await entry.start()
        self._entries[host] = entry
        return entry

    async def wait_ready(self) -> None:
        """Wait until every server is owned and every entry can use it.

        Raises ``TimeoutError`` if that takes more than 20 seconds.
        """
        server_count = len(self._engines) + len(self._services)
        async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
            while not all(
                self._is_ready(entry, server_count) for entry in self._entries.values()
            ):
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    async def stop(self) -> None:
        """Stop entries, keepers and stand-ins."""
        for entry in list(self._entries.values()):
            await entry.stop()
        for keeper in list(self._keepers.values()):
            await keeper.stop()
        for engine in self._engines.values():
            await engine.stop()
        for server in self._service_servers.values():
            await server.abort()
        await self._platform_server.abort()

    def _is_ready(self, entry: EntryNode, server_count: int) -> bool:
        if entry.configuration.configuration is None:
            return False
        now = self._clock.monotonic()
        usable = entry.context.view.usable_servers(now)
        owned = {owner for keeper in self._keepers.values() for owner in keeper.owners}
        has_load_budget = all(
            keeper.permit_queue.pool.is_usable(now) for keeper in self._keepers.values()
        )
        return (
            len(usable) >= server_count
            and len(owned) >= server_count
            and has_load_budget
        )

    async def _start_servers(self) -> None:
        await self._platform_server.start()
        plan = self._plan
        for domain in plan.domains:
            for number in range(plan.engines_per_domain):
                await self._start_engine(f"{domain}-engine{number}")
            for number in range(plan.plain_servers_per_domain):
                await self._start_service(f"{domain}-plain{number}")

    async def _start_engine(self, name: str) -> None:
        engine = LabEngine(
            name,
            self._plan.engine,
            self.platform_url,
            checks_fencing=self._plan.fenced_engines,
        )
        await engine.start()
        self._engines[name] = engine

    async def _start_service(self, name: str) -> None:
        service = ServiceApp(name, self._plan.plain_service_seconds)
        server = HttpServer(service.app(), LOOPBACK, 0)
        await server.start()
        self._services[name] = service
        self._service_servers[name] = server

    def _platform_settings(self) -> PlatformSettings:
        url = self.platform_url
        return PlatformSettings(store=url, hosts=url, weights=url)

    def _prepare_host_settings(self) -> None:
        plan = self._plan
        for domain in plan.domains:
            for number in range(plan.keepers_per_domain):
                host = f"{domain}-host{number}"
                self._keeper_settings[host] = KeeperSettings(
                    host=host,
                    domain=domain,
                    listen=free_address(),
                    operators=free_address(),
                    platform=self._platform_settings(),
                    policy="cost" if plan.policy == "cost" else "plain",
                )
        addresses = tuple(item.listen for item in self._keeper_settings.values())
        for host, settings in list(self._keeper_settings.items()):
            peers = tuple(item for item in addresses if item != settings.listen)
            self._keeper_settings[host] = settings.model_copy(update={"peers": peers})
        self._prepare_entry_settings(addresses)

    def _prepare_entry_settings(self, addresses: tuple[str, ...]) -> None:
        plan = self._plan
        for domain in plan.domains:
            local_keepers = [
                item.listen
                for item in self._keeper_settings.values()
                if item.domain == domain
            ]
            for number in range(plan.entries_per_domain):
                host = f"{domain}-host{number}"
                preferred = local_keepers[number % len(local_keepers)]
                others = tuple(item for item in addresses if item != preferred)
                self._entry_settings[host] = EntrySettings.model_validate(
                    {
                        "host": host,
                        "domain": domain,
                        "listen": free_address(),
                        "operators": free_address(),
                        "keepers": (preferred, *others),
                        "policy": plan.policy,
                    }
                )
