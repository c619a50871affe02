"""Run a host's choice of servers with one engine, in virtual time."""

import asyncio
import random

from gooseberrydeal._internal.models.ids import DomainName, FencingNumber, HostId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_status import (
    CopyStatus,
    EngineStatus,
)
from gooseberrydeal._internal.models.routing.route import Route
from gooseberrydeal._internal.operations.router.assignment import (
    Assignment,
    NoAssignment,
)
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.dispatcher import Dispatcher
from gooseberrydeal._internal.operations.router.metadata_view import (
    DeclaredVersion,
    MetadataView,
)
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from tests.lib.routing_builders import (
    LANGUAGE,
    MODEL,
    adapter_key,
    configuration,
    request_facts,
    route,
    server_entry,
)

VERSION_BOUND = 5.0


class DispatchWorld:
    """Own a dispatcher and the one engine that it may choose."""

    def __init__(self) -> None:
        self.now = asyncio.get_running_loop().time
        self.view = MetadataView()
        self.servers = ServerTable(self.now)
        self.servers.configure(configuration())
        self.servers.put(server_entry("i-1"))
        self.signal = ChangeSignal()
        self.load_requested: list[ServerRecord] = []
        self.number = 0
        self.dispatcher = Dispatcher(
            self.servers,
            self.view,
            DomainName("d1"),
            VERSION_BOUND,
            self.signal,
            self.load_requested.append,
            self.now,
            random.Random(1),
        )

    def hold(self, *copies: AdapterCopyKey) -> None:
        self.number += 1
        (record,) = self.servers.records
        status = EngineStatus(
            HostId("h1"),
            record.id,
            FencingNumber(1),
            self.number,
            True,
            2,
            0,
            0,
            0,
            1.0,
            (MODEL,),
            tuple(CopyStatus(key, CopyState.READY) for key in copies),
        )
        self.servers.apply_status(status)
        for key in copies:
            self.signal.notify(key)

    def declare(self, version: int) -> None:
        self.view.versions[adapter_key()] = DeclaredVersion(version, self.now())

    async def assign(
        self, route_taken: Route, time_limit: float
    ) -> Assignment | NoAssignment:
        """Return where a request goes that arrives now."""
        now = self.now()
        request = RoutedRequest(
            request_facts(), route_taken, LANGUAGE, now, now + time_limit
        )
        return await self.dispatcher.assign(request)

    async def assigned(self) -> AdapterCopyKey | None:
        """Return the copy that a request is sent to, ``None`` if it is refused."""
        found = await self.assign(route(), 4.0)
        return found.copy if isinstance(found, Assignment) else None
