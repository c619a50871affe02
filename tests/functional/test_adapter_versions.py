"""Check which version of an adapter requests run on after a new one is declared."""

import asyncio
import random

from gooseberrydeal._internal.models.ids import DomainName, FencingNumber, HostId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_status import (
    CopyStatus,
    EngineStatus,
)
from gooseberrydeal._internal.operations.router.assignment import Assignment
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.dispatcher import Dispatcher
from gooseberrydeal._internal.operations.router.metadata_view import (
    AdapterVersion,
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
    copy_key,
    request_facts,
    route,
    server_entry,
)
from tests.lib.virtual_loop import run_virtual

_BOUND = 5.0


class _World:
    def __init__(self) -> None:
        self.now = asyncio.get_running_loop().time
        self.view = MetadataView()
        self.servers = ServerTable(self.now)
        self.servers.configure(configuration())
        self.servers.put(server_entry("i-1"))
        self.signal = ChangeSignal()
        self.wanted: list[ServerRecord] = []
        self.number = 0
        self.dispatcher = Dispatcher(
            self.servers,
            self.view,
            DomainName("d1"),
            _BOUND,
            self.signal,
            self.wanted.append,
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
        self.servers.take_status(status)
        for key in copies:
            self.signal.notify(key)

    def declare(self, version: int) -> None:
        self.view.versions[adapter_key()] = AdapterVersion(version, self.now())

    async def assigned(self) -> AdapterCopyKey | None:
        now = self.now()
        request = RoutedRequest(request_facts(), route(), LANGUAGE, now, now + 4.0)
        found = await self.dispatcher.assign(request)
        return found.copy if isinstance(found, Assignment) else None


def test_the_old_version_serves_until_the_new_one_is_ready() -> None:
    async def play() -> None:
        world = _World()
        world.hold(copy_key("a1", 1))
        assert await world.assigned() == copy_key("a1", 1)
        world.declare(2)
        assert await world.assigned() == copy_key("a1", 1)
        world.hold(copy_key("a1", 1), copy_key("a1", 2))
        assert await world.assigned() == copy_key("a1", 2)

    run_virtual(play())


def test_the_old_version_serves_no_request_near_the_bound() -> None:
    async def play() -> None:
        world = _World()
        world.hold(copy_key("a1", 1))
        world.declare(2)
        until = world.now() + _BOUND
        while world.now() < until:
            world.hold(copy_key("a1", 1))
            begun = world.now()
            found = await world.assigned()
            if found == copy_key("a1", 1):
                assert begun < until - _BOUND / 2
            await asyncio.sleep(0.2)
        assert world.wanted

    run_virtual(play())
