"""Pass messages about places between hosts."""

from collections.abc import Callable
from typing import Any, Final, TypeVar

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.place_messages import PlaceMessage
from gooseberrydeal._internal.network.report_codec import encode_place_message
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.policy.waiting.place_keeper_choice import (
    choose_place_keeper,
)

_MessageT = TypeVar("_MessageT", bound=PlaceMessage)

# Keepers are chosen anew after this time, since hosts come and go.
_CHOICE_SECONDS: Final = 0.5


class PlaceLink:
    """Send messages to place keepers and back, to this host without a datagram."""

    def __init__(
        self,
        membership: HostMembership,
        view: MetadataView,
        send_datagram: Callable[[bytes, str], None],
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._view = view
        self._send_datagram = send_datagram
        self._clock = clock
        self._handlers: dict[type[Any], Callable[[Any], None]] = {}
        self._keepers: dict[str, tuple[HostId | None, float]] = {}

    @property
    def own(self) -> HostMembership:
        """Return the registration of this host."""
        return self._membership

    def set_handler(
        self, kind: type[_MessageT], handler: Callable[[_MessageT], None]
    ) -> None:
        """Set the function that receives this host's messages to itself."""
        self._handlers[kind] = handler

    def send(self, host: HostId, message: PlaceMessage) -> None:
        """Send a message to a host, unless that is not known."""
        if host == self._membership.host:
            self._handlers[type(message)](message)
            return
        known = self._view.hosts.get(host)
        if known is not None:
            self._send_datagram(encode_place_message(message), known.address)

    def send_to_all(self, message: PlaceMessage) -> None:
        """Send a message to all hosts."""
        data = encode_place_message(message)
        self._handlers[type(message)](message)
        for host in self._view.hosts.values():
            if host.host != self._membership.host:
                self._send_datagram(data, host.address)

    def keeper(self, record: ServerRecord) -> HostId | None:
        """Return the place keeper of a server, ``None`` if no host is known."""
        now = self._clock()
        found = self._keepers.get(record.id)
        if found is None or now - found[1] >= _CHOICE_SECONDS:
            entry = record.entry
            hosts = self._view.hosts.values()
            found = (choose_place_keeper(entry.id, entry.domain, hosts), now)
            self._keepers[record.id] = found
        return found[0]

    def is_known(self, host: HostId) -> bool:
        """Return whether messages can be sent to a host."""
        return host == self._membership.host or host in self._view.hosts
