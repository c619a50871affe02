"""Leave out servers that left although a restored store lists them again."""

import logging
from collections.abc import Container

from gooseberrydeal._internal.exceptions import DeclarationError
from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.network.interfaces.metadata_decoder import (
    MetadataDecoder,
)
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.lost_writes import LostWrites

logger = logging.getLogger(__name__)


class DepartedServers:
    """Keep the listed entries, and put only those of present servers into the table."""

    def __init__(
        self, decoder: MetadataDecoder, servers: ServerTable, lost_writes: LostWrites
    ) -> None:
        self._decoder = decoder
        self._servers = servers
        self._lost_writes = lost_writes
        self._entries: dict[ServerId, ServerEntry] = {}
        self._left_out: set[ServerId] = set()

    def entry_read(self, entry: ServerEntry) -> None:
        """Use a server whose entry is listed, unless it left."""
        self._entries[entry.id] = entry
        if self._lost_writes.is_departed(entry.id, entry.started_at):
            self._leave_out(entry.id)
        else:
            self._left_out.discard(entry.id)
            self._servers.put(entry)

    def is_outdated(self, item: StoreItem, seen: Container[ServerId]) -> bool:
        """Return whether a restored item is a server's entry older than what was read.

        Servers that were removed, leaving or restarted write their entries again.
        ``seen`` holds the servers of which this host has read an entry.
        """
        server = self._decoder.server_id(item.key)
        if server is None or server not in seen or item.value is None:
            return False
        try:
            entry = self._decoder.server(server, item.value)
        except DeclarationError:
            return True
        record = self._servers.get(server)
        if record is not None:
            is_same_start = entry.started_at == record.entry.started_at
            is_older_start = entry.started_at < record.entry.started_at
            is_leaving = is_same_start and not record.accepts_requests
            if not (is_older_start or is_leaving):
                return False
        self._lost_writes.server_departed(server, entry.started_at)
        return True

    def entry_deleted(self, server: ServerId) -> None:
        """Forget a server that is no longer listed."""
        self._entries.pop(server, None)
        self._left_out.discard(server)
        self._lost_writes.server_removed(server)

    def update(self) -> None:
        """Apply what other hosts have found out about servers that left."""
        for server in self._lost_writes.departed_servers | self._left_out:
            entry = self._entries.get(server)
            if entry is not None:
                self.entry_read(entry)

    def _leave_out(self, server: ServerId) -> None:
        if server in self._left_out:
            return
        self._left_out.add(server)
        logger.info(
            "server not used: it left before the metadata store was restored",
            extra={"server": server},
        )
        self._servers.remove(server)
