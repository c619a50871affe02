"""Keep this host's copy of the metadata store up to date."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import (
    DeclarationError,
    StoreError,
    StoreHistoryError,
)
from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.owner_claim import OwnerClaim
from gooseberrydeal._internal.models.routing.store_item import StoreItem, StorePage
from gooseberrydeal._internal.models.routing.store_revision import epoch_of
from gooseberrydeal._internal.network.interfaces.metadata_decoder import (
    MetadataDecoder,
)
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.operations.router.declared_state import DeclaredState
from gooseberrydeal._internal.operations.router.delayed_removals import (
    REREGISTRATION_SECONDS,
)
from gooseberrydeal._internal.operations.router.departed_servers import (
    DepartedServers,
)
from gooseberrydeal._internal.operations.router.invalid_items import InvalidItems
from gooseberrydeal._internal.operations.router.metadata.change_reader import (
    ChangeReader,
)
from gooseberrydeal._internal.operations.router.metadata.registrations import (
    Registrations,
)
from gooseberrydeal._internal.operations.router.metadata_view import (
    CRASH_PREFIX,
    HOST_PREFIX,
    KNOWN_STATE_KEY,
    OWNER_PREFIX,
    MetadataView,
)
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.lost_writes import LostWrites

logger = logging.getLogger(__name__)

_RETRY_DELAY_SECONDS: Final = 0.3


class MetadataFollower:
    """Watch the metadata store and apply its changes to the view and server table.

    While the store is unavailable, the last known state stays in use. ``on_change`` is
    called after changes were read, ``on_crash_record`` with each record about requests
    that may crash servers. On the first start of the whole deployment
    (``is_first_start``), no host can have owned the servers listed without an owner.
    """

    def __init__(
        self,
        store: MetadataStore,
        decoder: MetadataDecoder,
        view: MetadataView,
        servers: ServerTable,
        lost_writes: LostWrites,
        clock: Callable[[], float],
        on_change: Callable[[], None],
        on_crash_record: Callable[[StoreItem], None],
        *,
        is_first_start: bool,
    ) -> None:
        self._store = store
        self._decoder = decoder
        self._view = view
        self._servers = servers
        self._lost_writes = lost_writes
        self._clock = clock
        self._on_change = on_change
        self._on_crash_record = on_crash_record
        self._invalid = InvalidItems()
        self._declared = DeclaredState(
            decoder, view, servers, lost_writes, clock, is_first_start=is_first_start
        )
        self._reader = ChangeReader(store, decoder)
        self._departed = DepartedServers(decoder, servers, lost_writes)
        self._registrations = Registrations(
            decoder, view, servers, self._departed, clock, on_change
        )
        self._availability = self._registrations.availability
        self._is_first_start = is_first_start
        self._seen_servers: set[ServerId] = set()
        self._may_miss_owners_until = 0.0
        # Unlike that of the view, this is kept when all items have to be read.
        self._read_until = 0

    @property
    def reader(self) -> ChangeReader:
        """Return what reads the changes."""
        return self._reader

    async def run(self) -> None:
        """Read all items, then watch for changes, until cancelled."""
        while True:
            try:
                if self._view.revision == 0:
                    await self._read_all()
                else:
                    await self._read_changes()
            except StoreHistoryError as error:
                logger.info("rereading all metadata: %s", error)
                self._view.revision = 0
            except StoreError as error:
                self._reader.failed()
                self._availability.note_outage(error)
                self._declared.use_newest()
                await asyncio.sleep(_RETRY_DELAY_SECONDS * random.uniform(0.7, 1.3))

    def declarations_read(self, page: StorePage, began_at: float) -> None:
        """Apply changes of declarations that were read apart from the others.

        The call that read them began at ``began_at`` on the clock of the proof.
        """
        self._apply_all(page.items)
        self._declared.use_newest()
        self._reader.declarations_read(page.revision)
        self._note_proof(began_at, page.revision)

    def read_soon(self) -> None:
        """Read the changes without the pause that is left, as some may be lost."""
        self._view.proof.read_soon()

    async def _read_all(self) -> None:
        started_at, began_at = self._clock(), self._view.proof.now()
        page = await self._store.list("")
        self._registrations.store_answered(self._read_until, page.revision)
        present = {item.key for item in page.items}
        is_first = self._is_first_start and not self._view.is_complete
        epoch = epoch_of(page.revision)
        is_restored = self._view.is_complete and epoch != self._view.store_epoch
        if is_restored:
            logger.warning(
                "metadata store was restored from a copy; records of engine owners"
                " that were written before no longer count",
                extra={"epoch": epoch},
            )
            self._declared.begin_epoch()
        self._view.store_epoch = epoch
        self._declared.known_state_listed(page.items, self._view.changes_read_until)
        can_be_outdated = is_restored and self._view.trusts_store
        for item in page.items:
            if not (
                can_be_outdated and self._departed.is_outdated(item, self._seen_servers)
            ):
                self._apply(item)
        self._declared.store_read()
        self._departed.update()
        if is_restored or not (is_first or self._view.is_settled):
            # An engine whose entry and owner record were lost registers as a new one.
            self._may_miss_owners_until = self._clock() + REREGISTRATION_SECONDS
        self._view.never_owned.clear()
        if is_first:
            unowned = {record.id for record in self._servers.records}
            self._view.never_owned |= unowned - self._view.owners.keys()
        self._registrations.remove_unlisted(present, is_restored=is_restored)
        self._view.revision = self._read_until = page.revision
        self._view.listed_at = self._clock()
        self._view.changes_read_until = self._view.registrations_read_until = started_at
        self._view.is_complete = True
        self._note_proof(began_at, page.revision)
        self._on_change()

    async def _read_changes(self) -> None:
        started_at, began_at = self._clock(), self._view.proof.now()
        changes = await self._reader.read(self._view.revision)
        self._registrations.store_answered(self._read_until, changes.revision)
        for item in changes.items:
            server = self._decoder.server_id(item.key)
            if server is not None and item.value is not None:
                self._lost_writes.server_written(server)
        self._apply_all(changes.items)
        self._view.revision = max(self._view.revision, changes.revision)
        self._read_until = self._view.revision
        self._declared.store_read()
        self._departed.update()
        self._view.registrations_read_until = started_at
        if changes.is_proof:
            self._view.changes_read_until = started_at
            self._note_proof(began_at, changes.revision)
        self._registrations.remove_overdue()
        self._on_change()
        pause = self._view.periods.store_poll - (self._clock() - started_at)
        if not changes.is_proof:
            # The declarations that are read meanwhile bring the proof.
            await asyncio.sleep(max(0.0, pause))
        elif pause > 0:
            await self._view.proof.pause(pause)

    def _note_proof(self, began_at: float, revision: int) -> None:
        confirmed = self._view.is_confirmed
        self._view.proof.read_ended(began_at, revision, is_confirmed=confirmed)

    def _apply_all(self, items: tuple[StoreItem, ...]) -> None:
        """Apply changes in their order, of configurations only the newest valid one."""
        configurations = []
        for item in items:
            if item.key == self._decoder.configuration_key:
                configurations.append(item)
            else:
                self._apply(item)
        for item in reversed(configurations):
            if item.value is not None and self._apply(item):
                break

    def _apply(self, item: StoreItem) -> bool:
        """Apply a change; return whether it is valid."""
        try:
            self._apply_valid(item)
        except (DeclarationError, ValueError) as error:
            self._invalid.note_invalid(item.key, error)
            server = self._decoder.server_id(item.key)
            if server is not None:
                self._servers.remove(server)
            return False
        self._invalid.note_valid(item.key)
        return True

    def _apply_valid(self, item: StoreItem) -> None:
        if item.key.startswith(HOST_PREFIX):
            host = HostId(item.key.removeprefix(HOST_PREFIX))
            self._registrations.host_read(host, item.value)
        elif item.key.startswith(OWNER_PREFIX):
            self._apply_owner(ServerId(item.key.removeprefix(OWNER_PREFIX)), item)
        elif item.key.startswith(CRASH_PREFIX):
            self._on_crash_record(item)
        elif item.key == KNOWN_STATE_KEY:
            self._declared.known_state_read(item, self._view.changes_read_until)
        elif (server := self._decoder.server_id(item.key)) is not None:
            self._apply_server(server, item)
        elif (configuration := self._decoder.configuration(item)) is not None:
            self._declared.configuration_read(item, configuration)
        elif (version := self._decoder.adapter_version(item)) is not None:
            self._declared.version_read(*version, self._view.changes_read_until)

    def _apply_owner(self, server: ServerId, item: StoreItem) -> None:
        self._view.never_owned.discard(server)
        known = self._view.owners.get(server)
        if known is not None and item.revision < known.revision:
            # This host has claimed the engine since.
            return
        if item.value is None:
            self._view.owners.pop(server, None)
        else:
            try:
                claim = OwnerClaim.decode(item.value, item.revision)
            except ValueError as error:
                logger.warning(
                    "engine has no owner until a host replaces its record: %s",
                    error,
                    extra={"server": server},
                )
                claim = OwnerClaim.unreadable(item.revision)
            self._view.owners[server] = claim

    def _apply_server(self, server: ServerId, item: StoreItem) -> None:
        if item.value is None:
            self._registrations.server_removed(server)
            return
        self._registrations.server_registered(server)
        is_new = (
            server not in self._seen_servers
            and item.create_revision == item.revision
            and self._clock() >= self._may_miss_owners_until
        )
        if is_new and server not in self._view.owners:
            self._view.never_owned.add(server)
        self._seen_servers.add(server)
        self._departed.entry_read(self._decoder.server(server, item.value))
