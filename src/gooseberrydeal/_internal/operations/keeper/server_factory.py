"""Build server owners with the backend for their kind of service."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from gooseberrydeal._internal.exceptions import HostListError
from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.ids import FencingNumber
from gooseberrydeal._internal.models.work_class import WorkClass
from gooseberrydeal._internal.operations.keeper.adapter_loader import AdapterLoader
from gooseberrydeal._internal.operations.keeper.engine_backend import EngineBackend
from gooseberrydeal._internal.operations.keeper.engine_slots import EngineSlots
from gooseberrydeal._internal.operations.keeper.external_clients import ExternalClients
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.keeper.load_permit_queue import LoadPermitQueue
from gooseberrydeal._internal.operations.keeper.plain_backend import PlainBackend
from gooseberrydeal._internal.operations.keeper.server_owner import ServerOwner
from gooseberrydeal._internal.policy.pace_tracker import LatencyTracker

logger = logging.getLogger(__name__)

# Latency baselines until the server's peers have reported theirs.
_INITIAL_FIRST_TOKEN_SECONDS: Final = 0.1
_INITIAL_TOKEN_GAP_SECONDS: Final = 0.03
_HOST_LIST_INTERVAL_SECONDS: Final = 1.0


class ServerFactory:
    """Create server owners, and keep track of their adapter slots."""

    def __init__(
        self,
        context: KeeperContext,
        clients: ExternalClients,
        permit_queue: LoadPermitQueue,
        class_of: Callable[[str], WorkClass],
    ) -> None:
        self._context = context
        self._clients = clients
        self._permit_queue = permit_queue
        self._class_of = class_of
        self._slots: dict[str, EngineSlots] = {}

    def build(
        self, server: BackendServer, epoch: FencingNumber, *, may_adopt: bool
    ) -> ServerOwner:
        """Return a new owner of a server; the caller starts it."""
        latency = LatencyTracker(
            _INITIAL_FIRST_TOKEN_SECONDS, _INITIAL_TOKEN_GAP_SECONDS
        )
        owner = ServerOwner(server, epoch, self._context, latency, self._class_of)
        service = self._context.configuration().service(server.service)
        if service is not None and service.type == "plain":
            plain = self._clients.plain_server(server.address)
            owner.attach(PlainBackend(owner, plain, self._context))
            return owner
        owner.attach(self._engine_backend(owner, server, epoch, may_adopt=may_adopt))
        return owner

    def allow_adoption(self, server: str) -> None:
        """Let the owner of a server adopt the copies of an earlier owner."""
        slots = self._slots.get(server)
        if slots is not None:
            slots.allow_adoption()

    def has_foreign(self, servers: Iterable[str]) -> bool:
        """Return whether copies of earlier owners occupy slots on any server."""
        return any(
            self._slots[name].has_foreign for name in servers if name in self._slots
        )

    async def follow_host_list(self, owners: Mapping[str, ServerOwner]) -> None:
        """Mark servers as leaving as long as the platform's host list does.

        Runs until cancelled. If the list cannot be read, the marks stay as they are.
        """
        while True:
            await asyncio.sleep(_HOST_LIST_INTERVAL_SECONDS)
            if not owners:
                continue
            try:
                listed = await self._clients.host_list.read()
            except HostListError:
                continue
            leaving = {item.address for item in listed if item.is_leaving}
            for owner in owners.values():
                owner.set_listed_leaving(is_leaving=owner.declared.address in leaving)

    def _engine_backend(
        self,
        owner: ServerOwner,
        server: BackendServer,
        epoch: FencingNumber,
        *,
        may_adopt: bool,
    ) -> EngineBackend:
        engine = self._clients.engine(server.address)
        slots = EngineSlots(server.adapter_slots, epoch, self._context.clock)
        if may_adopt:
            slots.allow_adoption()
        self._slots[server.name] = slots
        loader = AdapterLoader(
            server.name,
            epoch,
            engine,
            slots,
            self._permit_queue,
            self._clients.weights,
            self._context,
        )
        backend = EngineBackend(owner, engine, slots, loader, self._context)
        loader.set_callbacks(
            owner.start_jobs, owner.rejector.refuse_adapter, owner.handle_fenced
        )
        return backend
