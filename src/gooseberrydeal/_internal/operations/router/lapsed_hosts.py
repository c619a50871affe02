"""Keep the addresses of hosts whose membership has lapsed."""

from collections.abc import Callable, Collection
from typing import Final

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView

# A host that the store turns away lapses at about the time at which the leases of
# owners do that were cut off with it. Others claim the engines within a few seconds,
# and the host learns of the new owners in this time.
_RETENTION_SECONDS: Final = 15.0


class LapsedHosts:
    """Tell where hosts can be reached that left the store's list a short time ago.

    The store may turn away a host that the others reach. Such a host is kept for as
    long as it reports, any other one for a few seconds.
    """

    def __init__(self, view: MetadataView, clock: Callable[[], float]) -> None:
        self._view = view
        self._clock = clock
        self._members: dict[HostId, str] = {}
        self._addresses: dict[HostId, str] = {}
        self._kept_until: dict[HostId, float] = {}

    @property
    def names(self) -> Collection[HostId]:
        """Return the hosts that lapsed a short time ago or still report."""
        return self._addresses.keys()

    def address(self, host: HostId) -> str | None:
        """Return where a lapsed host listens, ``None`` if that is not kept."""
        return self._addresses.get(host)

    def update(self) -> None:
        """Compare the members with those of the last call."""
        now = self._clock()
        members = {name: host.address for name, host in self._view.hosts.items()}
        for name in self._members.keys() - members.keys():
            self._addresses[name] = self._members[name]
            self._kept_until[name] = now + _RETENTION_SECONDS
        self._members = members
        for name in list(self._addresses):
            if name in members or self._kept_until[name] <= now:
                del self._addresses[name], self._kept_until[name]

    def note_report(self, host: HostId) -> None:
        """Record that a host has reported, so that it still runs."""
        if host in self._addresses:
            self._kept_until[host] = self._clock() + _RETENTION_SECONDS
