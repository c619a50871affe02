"""Remove servers and hosts whose entries in the metadata store are gone."""

import logging
from collections.abc import Callable

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.store_revision import epoch_of
from gooseberrydeal._internal.network.interfaces.metadata_decoder import (
    MetadataDecoder,
)
from gooseberrydeal._internal.operations.router.delayed_removals import (
    REREGISTRATION_SECONDS,
    DelayedRemovals,
)
from gooseberrydeal._internal.operations.router.departed_servers import (
    DepartedServers,
)
from gooseberrydeal._internal.operations.router.metadata_view import (
    HOST_PREFIX,
    OWNER_PREFIX,
    MetadataView,
)
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.store_availability import (
    StoreAvailability,
)

logger = logging.getLogger(__name__)


class Registrations:
    """Keep servers and hosts that register again soon after an outage of the store.

    ``on_change`` is called after a server was removed that did not.
    """

    def __init__(
        self,
        decoder: MetadataDecoder,
        view: MetadataView,
        servers: ServerTable,
        departed: DepartedServers,
        clock: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self._decoder = decoder
        self._view = view
        self._servers = servers
        self._departed = departed
        self._clock = clock
        self._on_change = on_change
        self._removals = DelayedRemovals(self._remove_overdue_server, clock)
        self._host_removals = DelayedRemovals(self._remove_host, clock)
        self._availability = StoreAvailability(
            view, (self._removals, self._host_removals), clock
        )

    @property
    def availability(self) -> StoreAvailability:
        """Return what follows the outages of the store."""
        return self._availability

    def store_answered(self, known: int, revision: int) -> None:
        """Record a response at a revision, and up to which one changes were known."""
        is_same_epoch = epoch_of(known) == epoch_of(revision)
        writes = max(0, revision - known) if is_same_epoch and known else 0
        self._availability.note_response(writes)

    def host_read(self, host: HostId, value: bytes | None) -> None:
        """Apply a host's record, ``None`` if it was removed."""
        if value is None:
            if self._clock() < self._availability.grace_until:
                self._host_removals.schedule(host, self._availability.grace_until)
            else:
                self._remove_host(host)
            return
        self._host_removals.cancel(host)
        self._view.hosts[host] = HostMembership.decode(value)
        self._servers.set_host_count(len(self._view.hosts))

    def server_registered(self, server: ServerId) -> None:
        """Keep a server that has an entry again."""
        self._removals.cancel(server)

    def server_removed(self, server: ServerId) -> None:
        """Remove a server whose entry was removed."""
        if self._clock() < self._availability.grace_until:
            self._removals.schedule(server, self._availability.grace_until)
            return
        self._removals.cancel(server)
        self._departed.entry_deleted(server)
        logger.info("server removed: its entry was deleted", extra={"server": server})
        self._servers.remove(server)

    def remove_unlisted(self, present: set[str], *, is_restored: bool) -> None:
        """Remove owners, servers and hosts that are no longer listed.

        The entry of a running server or host may have expired while the store was
        unavailable, or was lost when it was restored. Only then it is given time to
        register again.
        """
        remove_at = self._availability.grace_until
        if is_restored:
            remove_at = self._clock() + REREGISTRATION_SECONDS
        is_delayed = remove_at > self._clock()
        for host in [h for h in self._view.hosts if HOST_PREFIX + h not in present]:
            if is_delayed:
                self._host_removals.schedule(host, remove_at)
            else:
                self._remove_host(host)
        for owned in [s for s in self._view.owners if OWNER_PREFIX + s not in present]:
            del self._view.owners[owned]
        listed = {self._decoder.server_id(key) for key in present}
        for record in list(self._servers.records):
            if record.id in listed:
                continue
            if is_delayed:
                self._removals.schedule(record.id, remove_at)
            else:
                self.server_removed(record.id)

    def remove_overdue(self) -> None:
        """Remove what did not register again in time."""
        self._removals.remove_overdue()
        self._host_removals.remove_overdue()

    def _remove_host(self, host: HostId) -> None:
        self._host_removals.cancel(host)
        self._view.hosts.pop(host, None)
        self._servers.set_host_count(len(self._view.hosts))

    def _remove_overdue_server(self, server: ServerId) -> None:
        logger.info(
            "server removed: it did not register again in time",
            extra={"server": server},
        )
        self._servers.remove(server)
        self._on_change()
