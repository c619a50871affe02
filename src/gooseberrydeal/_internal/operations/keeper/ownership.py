"""Take, hold and give up the ownership of backend servers."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Final, Protocol
from uuid import uuid4

from gooseberrydeal._internal.exceptions import HostListError, StoreError
from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.conditional_write import ConditionalWrite
from gooseberrydeal._internal.models.host_record import HostRecord
from gooseberrydeal._internal.models.ids import FencingNumber
from gooseberrydeal._internal.models.owner_record import OwnerRecord
from gooseberrydeal._internal.models.record import Record
from gooseberrydeal._internal.network.interfaces.host_list import HostList
from gooseberrydeal._internal.network.interfaces.key_value_store import KeyValueStore
from gooseberrydeal._internal.operations.resolved_write import write_resolved
from gooseberrydeal._internal.policy.server_assignment import assign
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

_CALM_SECONDS: Final = 3.0
_SOON_SECONDS: Final = 0.3
_STABLE_ROUNDS: Final = 2


class OwnedServers(Protocol):
    """Start and end the tasks that own servers."""

    async def acquired(
        self, server: BackendServer, epoch: FencingNumber, *, may_adopt: bool
    ) -> None:
        """Begin to own a server."""
        ...

    async def released(self, server: str) -> None:
        """Give no more orders to a server; running work ends by itself."""
        ...

    def may_adopt(self, server: str) -> None:
        """Note that an earlier owner can give no more orders."""
        ...


class Ownership:
    """Follow the records of this failure domain and act on differences.

    A server is taken only with a compare-and-swap that raises its fencing number,
    and only if its owner has released it, or the owner's leased record is gone. While
    the platform can't be reached nothing is taken and nothing is given up.
    """

    def __init__(
        self,
        store: KeyValueStore,
        host_list: HostList,
        record: HostRecord,
        owned: OwnedServers,
        declared: Callable[[], list[BackendServer]],
        is_registered: Callable[[], bool],
        on_hosts: Callable[[Iterable[HostRecord]], None],
    ) -> None:
        self._store = store
        self._host_list = host_list
        self._record = record
        self._owned = owned
        self._declared = declared
        self._is_registered = is_registered
        self._on_hosts = on_hosts
        self._held: dict[str, OwnerRecord] = {}
        self._predecessors: dict[str, OwnerRecord] = {}
        self._unwanted: dict[str, int] = {}
        self._is_leaving = False
        self._wake = asyncio.Event()
        self._tasks = TaskOwner()

    @property
    def held(self) -> Mapping[str, OwnerRecord]:
        """Return the records of the servers that are owned."""
        return self._held

    def start(self) -> None:
        """Begin to follow the records."""
        self._tasks.start(self._run(), "ownership")

    def wake(self) -> None:
        """Look at the records soon."""
        self._wake.set()

    async def stop(self) -> None:
        """Release every server."""
        self._is_leaving = True
        await self._tasks.stop()
        for server in list(self._held):
            await self._owned.released(server)
            try:
                await self._release(server)
            except StoreError:
                logger.info("a server could not be released and will be taken over")

    async def abort(self) -> None:
        """End without giving anything up."""
        await self._tasks.stop()

    async def round(self) -> None:
        """Compare records with wishes once; raises :class:`StoreError`."""
        hosts = await self._hosts()
        self._on_hosts(hosts.values())
        records = await self._records()
        declared = {
            item.name: item
            for item in self._declared()
            if item.domain == self._record.domain
        }
        wishes = assign(declared, sorted(hosts))
        await self._drop_lost(records)
        await self._follow_adoption(hosts)
        if not self._is_registered() or self._is_leaving:
            return
        for name, server in declared.items():
            if wishes.get(name) == self._record.host:
                self._unwanted.pop(name, None)
                if name not in self._held:
                    await self._try_take(server, records.get(name), hosts)
            elif name in self._held:
                await self._give_up(name)
        for name in list(self._held):
            if name not in declared:
                await self._give_up(name)

    async def _run(self) -> None:
        while True:
            pause = _CALM_SECONDS
            try:
                await self.round()
            except StoreError:
                logger.debug("ownership waits for the platform")
            if not self._held:
                pause = _SOON_SECONDS * 2
            await self._sleep(pause * random.uniform(0.75, 1.25))

    async def _sleep(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()
        await asyncio.sleep(_SOON_SECONDS * random.uniform(0.2, 1.0))

    async def _hosts(self) -> dict[str, HostRecord]:
        records = await self._store.list(f"hosts/{self._record.domain}/")
        hosts = {}
        for record in records:
            try:
                host = HostRecord.decode(record.value)
            except ValueError:
                continue
            hosts[host.host] = host
        return hosts

    async def _records(self) -> dict[str, Record]:
        prefix = f"owners/{self._record.domain}/"
        listed = await self._store.list(prefix)
        return {record.key[len(prefix) :]: record for record in listed}

    async def _drop_lost(self, records: Mapping[str, Record]) -> None:
        for name, own in list(self._held.items()):
            found = records.get(name)
            if found is not None and _decoded(found) == own:
                continue
            if found is None or _epoch_of(found) > own.epoch:
                logger.warning("ownership lost", extra={"server": name})
                del self._held[name]
                await self._owned.released(name)

    async def _follow_adoption(self, hosts: Mapping[str, HostRecord]) -> None:
        """Adopt copies of owners that are provably gone."""
        for name, before in list(self._predecessors.items()):
            if name not in self._held:
                del self._predecessors[name]
            elif await self._is_gone(before, hosts):
                del self._predecessors[name]
                self._owned.may_adopt(name)

    async def _is_gone(
        self, before: OwnerRecord, hosts: Mapping[str, HostRecord]
    ) -> bool:
        """Return whether the process that held a record can't run any more.

        A lapsed lease proves nothing, since the process may only be paused. A newer
        incarnation on the same host does, and so does the platform's word that the
        host is no more.
        """
        host = hosts.get(before.owner)
        if host is not None:
            return host.incarnation != before.incarnation
        address = before.incarnation.partition("/")[0]
        try:
            listed = await self._host_list.read()
        except HostListError:
            return False
        return bool(listed) and all(item.address != address for item in listed)

    async def _try_take(
        self,
        server: BackendServer,
        found: Record | None,
        hosts: Mapping[str, HostRecord],
    ) -> None:
        before = _decoded(found) if found is not None else None
        if before is not None and not before.is_released:
            owner = hosts.get(before.owner)
            if owner is not None and owner.incarnation == before.incarnation:
                return
        epoch = FencingNumber(1 if before is None else before.epoch + 1)
        wanted = OwnerRecord(
            self._record.host, self._record.incarnation, epoch, False, uuid4().hex
        )
        write = ConditionalWrite(
            self._key(server.name),
            0 if found is None else found.mod_revision,
            wanted.encode(),
        )
        result = await write_resolved(
            self._store, write, lambda value: value == wanted.encode()
        )
        if not result.applied:
            return
        self._held[server.name] = wanted
        may_adopt = before is None or before.is_released or server.checks_fencing
        if before is not None and not may_adopt:
            self._predecessors[server.name] = before
        logger.info("ownership taken", extra={"server": server.name, "epoch": epoch})
        await self._owned.acquired(server, epoch, may_adopt=may_adopt)

    async def _give_up(self, name: str) -> None:
        """Release a server that another host should own, once that is stable."""
        self._unwanted[name] = self._unwanted.get(name, 0) + 1
        if self._unwanted[name] < _STABLE_ROUNDS:
            return
        del self._unwanted[name]
        await self._owned.released(name)
        await self._release(name)

    async def _release(self, name: str) -> None:
        own = self._held.pop(name, None)
        if own is None:
            return
        found = await self._store.get(self._key(name))
        if found is None or _decoded(found) != own:
            return
        released = OwnerRecord(own.owner, own.incarnation, own.epoch, True, uuid4().hex)
        await write_resolved(
            self._store,
            ConditionalWrite(self._key(name), found.mod_revision, released.encode()),
            lambda value: value == released.encode(),
        )

    def _key(self, server: str) -> str:
        return f"owners/{self._record.domain}/{server}"


def _decoded(record: Record) -> OwnerRecord | None:
    try:
        return OwnerRecord.decode(record.value)
    except ValueError:
        return None


def _epoch_of(record: Record) -> int:
    decoded = _decoded(record)
    return 0 if decoded is None else decoded.epoch
