"""Acquire and release the ownership of backend servers."""

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

_ROUND_INTERVAL_SECONDS: Final = 3.0
_SHORT_DELAY_SECONDS: Final = 0.3
_ROUNDS_BEFORE_RELEASE: Final = 2


class OwnedServers(Protocol):
    """React to changes in the set of servers that this host owns."""

    async def on_acquired(
        self, server: BackendServer, epoch: FencingNumber, *, may_adopt: bool
    ) -> None:
        """Start sending work to a server that is now owned."""
        ...

    async def on_released(self, server: str) -> None:
        """Send no more work to a server; running work completes."""
        ...

    def on_adoption_allowed(self, server: str) -> None:
        """Adopt the copies of an earlier owner, which can send no more orders."""
        ...


class Ownership:
    """Reconcile the ownership of servers with their assignment to hosts.

    Only servers in this host's failure domain are considered. A server is acquired by
    a compare-and-swap that raises its fencing number, and only if its owner has
    released it or the owner's host record, which is bound to a lease, is gone. While
    the platform is unreachable, ownership does not change.
    """

    def __init__(
        self,
        store: KeyValueStore,
        host_list: HostList,
        record: HostRecord,
        owned: OwnedServers,
        declared: Callable[[], list[BackendServer]],
        is_registered: Callable[[], bool],
        on_hosts_read: Callable[[Iterable[HostRecord]], None],
    ) -> None:
        self._store = store
        self._host_list = host_list
        self._record = record
        self._owned_servers = owned
        self._declared_servers = declared
        self._is_registered = is_registered
        self._on_hosts_read = on_hosts_read
        self._held: dict[str, OwnerRecord] = {}
        self._predecessors: dict[str, OwnerRecord] = {}
        self._unassigned_rounds: dict[str, int] = {}
        self._is_leaving = False
        self._wake = asyncio.Event()
        self._tasks = TaskOwner()

    @property
    def held(self) -> Mapping[str, OwnerRecord]:
        """Return the owner records of the servers that this host owns."""
        return self._held

    def start(self) -> None:
        """Start the periodic reconciliation."""
        self._tasks.start(self._run(), "ownership")

    def wake(self) -> None:
        """Run the next round soon."""
        self._wake.set()

    async def stop(self) -> None:
        """Stop reconciling and release every server."""
        self._is_leaving = True
        await self._tasks.stop()
        for server in list(self._held):
            await self._owned_servers.on_released(server)
            try:
                await self._release(server)
            except StoreError:
                logger.info(
                    "server not released: store unavailable; another host takes it over"
                )

    async def abort(self) -> None:
        """Stop reconciling without releasing any server."""
        await self._tasks.stop()

    async def run_round(self) -> None:
        """Read the records once, and acquire or release servers accordingly.

        Raises :class:`StoreError` if the store is unavailable.
        """
        hosts = await self._read_hosts()
        self._on_hosts_read(hosts.values())
        records = await self._read_owner_records()
        declared = {
            item.name: item
            for item in self._declared_servers()
            if item.domain == self._record.domain
        }
        assignment = assign(declared, sorted(hosts))
        await self._drop_lost_servers(records)
        await self._adopt_orphaned_copies(hosts)
        if not self._is_registered() or self._is_leaving:
            return
        for name, server in declared.items():
            if assignment.get(name) == self._record.host:
                self._unassigned_rounds.pop(name, None)
                if name not in self._held:
                    await self._try_acquire(server, records.get(name), hosts)
            elif name in self._held:
                await self._release_when_stable(name)
        for name in list(self._held):
            if name not in declared:
                await self._release_when_stable(name)

    async def _run(self) -> None:
        while True:
            pause = _ROUND_INTERVAL_SECONDS
            try:
                await self.run_round()
            except StoreError:
                logger.debug("server ownership not updated: store unavailable")
            if not self._held:
                pause = _SHORT_DELAY_SECONDS * 2
            await self._sleep(pause * random.uniform(0.75, 1.25))

    async def _sleep(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()
        await asyncio.sleep(_SHORT_DELAY_SECONDS * random.uniform(0.2, 1.0))

    async def _read_hosts(self) -> dict[str, HostRecord]:
        records = await self._store.list(f"hosts/{self._record.domain}/")
        hosts = {}
        for record in records:
            try:
                host = HostRecord.decode(record.value)
            except ValueError:
                continue
            hosts[host.host] = host
        return hosts

    async def _read_owner_records(self) -> dict[str, Record]:
        prefix = f"owners/{self._record.domain}/"
        listed = await self._store.list(prefix)
        return {record.key[len(prefix) :]: record for record in listed}

    async def _drop_lost_servers(self, records: Mapping[str, Record]) -> None:
        for name, held_record in list(self._held.items()):
            found = records.get(name)
            if found is not None and _decode(found) == held_record:
                continue
            if found is None or _epoch_of(found) > held_record.epoch:
                logger.warning(
                    "server ownership lost: the record is gone or has a newer owner",
                    extra={"server": name},
                )
                del self._held[name]
                await self._owned_servers.on_released(name)

    async def _adopt_orphaned_copies(self, hosts: Mapping[str, HostRecord]) -> None:
        """Adopt the adapter copies of previous owners that are known to be gone."""
        for name, previous in list(self._predecessors.items()):
            if name not in self._held:
                del self._predecessors[name]
            elif await self._is_gone(previous, hosts):
                del self._predecessors[name]
                self._owned_servers.on_adoption_allowed(name)

    async def _is_gone(
        self, previous: OwnerRecord, hosts: Mapping[str, HostRecord]
    ) -> bool:
        """Return whether the process that wrote a record is known to have ended.

        An expired lease is no proof, since the process may only be paused. Proof is a
        newer incarnation on the same host, or a host list of the platform that no
        longer contains the host; an empty or unreadable list proves nothing.
        """
        host = hosts.get(previous.owner)
        if host is not None:
            return host.incarnation != previous.incarnation
        address = previous.incarnation.partition("/")[0]
        try:
            listed = await self._host_list.read()
        except HostListError:
            return False
        return bool(listed) and all(item.address != address for item in listed)

    async def _try_acquire(
        self,
        server: BackendServer,
        found: Record | None,
        hosts: Mapping[str, HostRecord],
    ) -> None:
        previous = _decode(found) if found is not None else None
        if previous is not None and not previous.is_released:
            owner = hosts.get(previous.owner)
            if owner is not None and owner.incarnation == previous.incarnation:
                return
        epoch = FencingNumber(1 if previous is None else previous.epoch + 1)
        new_record = OwnerRecord(
            self._record.host, self._record.incarnation, epoch, False, uuid4().hex
        )
        write = ConditionalWrite(
            self._key(server.name),
            0 if found is None else found.mod_revision,
            new_record.encode(),
        )
        result = await write_resolved(
            self._store, write, lambda value: value == new_record.encode()
        )
        if not result.applied:
            return
        self._held[server.name] = new_record
        may_adopt = previous is None or previous.is_released or server.checks_fencing
        if previous is not None and not may_adopt:
            self._predecessors[server.name] = previous
        logger.info(
            "server ownership acquired", extra={"server": server.name, "epoch": epoch}
        )
        await self._owned_servers.on_acquired(server, epoch, may_adopt=may_adopt)

    async def _release_when_stable(self, name: str) -> None:
        """Release a server that was not assigned to this host for several rounds."""
        self._unassigned_rounds[name] = self._unassigned_rounds.get(name, 0) + 1
        if self._unassigned_rounds[name] < _ROUNDS_BEFORE_RELEASE:
            return
        del self._unassigned_rounds[name]
        await self._owned_servers.on_released(name)
        await self._release(name)

    async def _release(self, name: str) -> None:
        held_record = self._held.pop(name, None)
        if held_record is None:
            return
        found = await self._store.get(self._key(name))
        if found is None or _decode(found) != held_record:
            return
        released = OwnerRecord(
            held_record.owner,
            held_record.incarnation,
            held_record.epoch,
            True,
            uuid4().hex,
        )
        await write_resolved(
            self._store,
            ConditionalWrite(self._key(name), found.mod_revision, released.encode()),
            lambda value: value == released.encode(),
        )

    def _key(self, server: str) -> str:
        return f"owners/{self._record.domain}/{server}"


def _decode(record: Record) -> OwnerRecord | None:
    try:
        return OwnerRecord.decode(record.value)
    except ValueError:
        return None


def _epoch_of(record: Record) -> int:
    decoded = _decode(record)
    return 0 if decoded is None else decoded.epoch
