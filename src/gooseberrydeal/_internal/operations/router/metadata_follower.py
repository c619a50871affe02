"""Follow the metadata store."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Final, Protocol

from gooseberrydeal._internal.exceptions import (
    DeclarationError,
    StoreError,
    StoreHistoryError,
)
from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.owner_claim import OwnerClaim
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.operations.router.metadata_view import (
    HOST_PREFIX,
    OWNER_PREFIX,
    AdapterVersion,
    MetadataView,
)
from gooseberrydeal._internal.operations.router.server_table import ServerTable

logger = logging.getLogger(__name__)

# Servers write more often than this; a watch is rarely kept waiting.
_WAIT_SECONDS: Final = 0.3
# A connection or a store may fall silent for good. A watch that is given up after this
# long beyond its wait, and the pause before the next, stay within the two seconds that
# a new configuration may take.
_ANSWER_SECONDS: Final = 1.2
_RETRY_SECONDS: Final = 0.3
# Servers whose entries lapsed during an outage are back this long after its end.
_RETURN_SECONDS: Final = 2.4
# Timers may fire this much early.
_TIMER_SECONDS: Final = 0.005
# Servers write more often than this; a longer silence means that the store was away.
_SILENT_SECONDS: Final = 2.5


class MetadataNames(Protocol):
    """Translate the store's keys and values."""

    def configuration(self, item: StoreItem) -> RoutingConfiguration | None:
        """Return the configuration if the item is one."""
        ...

    def adapter_version(self, item: StoreItem) -> tuple[AdapterKey, int] | None:
        """Return a declared version if the item is one."""
        ...

    def server_id(self, key: str) -> ServerId | None:
        """Return whose entry a key holds."""
        ...

    def server(self, server: ServerId, value: bytes) -> ServerEntry:
        """Return a server's entry."""
        ...


class MetadataFollower:
    """Keep the view and the server table as new as the store's answers allow."""

    def __init__(
        self,
        store: MetadataStore,
        names: MetadataNames,
        view: MetadataView,
        servers: ServerTable,
        clock: Callable[[], float],
        on_change: Callable[[], None],
        *,
        is_first_start: bool,
    ) -> None:
        self._store = store
        self._names = names
        self._view = view
        self._servers = servers
        self._clock = clock
        self._on_change = on_change
        self._revision = 0
        self._absent: dict[ServerId, float] = {}
        self._had_outage = False
        self._is_first_start = is_first_start
        self._appeared: set[ServerId] = set()
        self._returned_until = 0.0

    async def run(self) -> None:
        """Read everything once, then follow the changes."""
        while True:
            try:
                if self._revision == 0:
                    await self._read_all()
                else:
                    await self._follow()
            except StoreHistoryError as error:
                logger.info("the store is read anew: %s", error)
                self._revision = 0
            except StoreError as error:
                self._note_outage(error)
                await asyncio.sleep(_RETRY_SECONDS * random.uniform(0.7, 1.3))

    def _note_outage(self, error: StoreError) -> None:
        if not self._had_outage:
            logger.warning("the metadata store is lost: %s", error)
        self._had_outage = True

    async def _read_all(self) -> None:
        page = await self._store.list("")
        self._heard()
        present = {item.key for item in page.items}
        is_first = self._is_first_start and not self._view.is_complete
        for item in page.items:
            self._take(item)
        self._view.never_owned.clear()
        if is_first:
            unowned = {record.id for record in self._servers.records}
            self._view.never_owned |= unowned - self._view.owners.keys()
        self._drop_absent(present)
        self._revision = page.revision
        self._view.is_complete = True
        self._on_change()

    async def _follow(self) -> None:
        begun = self._clock()
        page = await self._store.changes(
            "", self._revision, _WAIT_SECONDS, _ANSWER_SECONDS
        )
        self._heard()
        for item in page.items:
            self._take(item)
        self._revision = max(self._revision, page.revision)
        self._expire_absent()
        self._on_change()
        pause = self._view.periods.store_poll - (self._clock() - begun)
        if pause > 0:
            await asyncio.sleep(pause)

    def _heard(self) -> None:
        now = self._clock()
        is_late = self._view.heard_at and now - self._view.heard_at > _SILENT_SECONDS
        if self._had_outage or is_late:
            logger.info("the metadata store is back")
            self._had_outage = False
            self._returned_until = now + _RETURN_SECONDS
            for server in list(self._absent):
                del self._absent[server]
                self._await_return(server, self._returned_until)
        self._view.heard_at = now

    def _drop_absent(self, present: set[str]) -> None:
        """Forget hosts and owners that are gone, and servers after a while.

        A server's entry may have lapsed while the store was away.
        """
        now = self._clock()
        for host in [h for h in self._view.hosts if HOST_PREFIX + h not in present]:
            del self._view.hosts[host]
        for owned in [s for s in self._view.owners if OWNER_PREFIX + s not in present]:
            del self._view.owners[owned]
        listed = {self._names.server_id(key) for key in present}
        for record in list(self._servers.records):
            if record.id not in listed:
                self._await_return(record.id, now + _RETURN_SECONDS)

    def _await_return(self, server: ServerId, until: float) -> None:
        """Keep a server whose entry may have lapsed in an outage until then."""
        if server not in self._absent:
            self._absent[server] = until
            # The next look at the changes may be too late: the store's word binds.
            loop = asyncio.get_running_loop()
            loop.call_later(until - self._clock(), self._expire_absent)

    def _expire_absent(self) -> None:
        if self._had_outage:
            # Nobody can tell whether they are back; the next answer will.
            return
        now = self._clock() + _TIMER_SECONDS
        gone = [s for s, until in self._absent.items() if until <= now]
        for server in gone:
            del self._absent[server]
            logger.info("a server did not come back", extra={"server": server})
            self._servers.remove(server)
        if gone:
            self._on_change()

    def _take(self, item: StoreItem) -> None:
        try:
            self._take_known(item)
        except (DeclarationError, ValueError) as error:
            logger.warning("the item %s is left out: %s", item.key, error)
            server = self._names.server_id(item.key)
            if server is not None:
                self._servers.remove(server)

    def _take_known(self, item: StoreItem) -> None:
        if item.key.startswith(HOST_PREFIX):
            self._take_host(HostId(item.key.removeprefix(HOST_PREFIX)), item)
        elif item.key.startswith(OWNER_PREFIX):
            self._take_owner(ServerId(item.key.removeprefix(OWNER_PREFIX)), item)
        elif (server := self._names.server_id(item.key)) is not None:
            self._take_server(server, item)
        elif (configuration := self._names.configuration(item)) is not None:
            self._take_configuration(configuration)
        elif (version := self._names.adapter_version(item)) is not None:
            self._take_version(*version)

    def _take_host(self, host: HostId, item: StoreItem) -> None:
        if item.value is None:
            self._view.hosts.pop(host, None)
        else:
            self._view.hosts[host] = HostMembership.decode(item.value)
        self._servers.set_host_count(len(self._view.hosts))

    def _take_owner(self, server: ServerId, item: StoreItem) -> None:
        self._view.never_owned.discard(server)
        if item.value is None:
            self._view.owners.pop(server, None)
        else:
            claim = OwnerClaim.decode(item.value, item.revision)
            self._view.owners[server] = claim

    def _take_server(self, server: ServerId, item: StoreItem) -> None:
        if item.value is None:
            self._remove_server(server)
            return
        self._absent.pop(server, None)
        is_new = server not in self._appeared and item.created == item.revision
        if is_new and server not in self._view.owners:
            self._view.never_owned.add(server)
        self._appeared.add(server)
        self._servers.put(self._names.server(server, item.value))

    def _remove_server(self, server: ServerId) -> None:
        if self._clock() < self._returned_until:
            self._await_return(server, self._returned_until)
            return
        self._absent.pop(server, None)
        logger.info("a server has left", extra={"server": server})
        self._servers.remove(server)

    def _take_configuration(self, configuration: RoutingConfiguration) -> None:
        known = self._view.configuration
        if known is not None and configuration.version <= known.version:
            return
        logger.info("configuration adopted", extra={"revision": configuration.version})
        self._view.configuration = configuration
        self._servers.configure(configuration)

    def _take_version(self, key: AdapterKey, version: int) -> None:
        known = self._view.versions.get(key)
        if known is None or version > known.version:
            logger.info(
                "adapter version declared",
                extra={"adapter": str(key), "adapter_version": version},
            )
            self._view.versions[key] = AdapterVersion(version, self._clock())
