"""Keep a host's view of the metadata store, and what the store has lost."""

from collections.abc import Callable

from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.network.interfaces.metadata_decoder import (
    MetadataDecoder,
)
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.operations.router.declaration_watch import (
    DeclarationWatch,
)
from gooseberrydeal._internal.operations.router.known_state_writer import (
    KnownStateWriter,
)
from gooseberrydeal._internal.operations.router.metadata_follower import (
    MetadataFollower,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.lost_writes import LostWrites
from gooseberrydeal._internal.utils.tasks import TaskOwner


class HostMetadata:
    """Run the tasks that read the store and write back what it has lost."""

    def __init__(
        self,
        membership: HostMembership,
        store: MetadataStore,
        decoder: MetadataDecoder,
        view: MetadataView,
        servers: ServerTable,
        clock: Callable[[], float],
        on_change: Callable[[], None],
        on_crash_record: Callable[[StoreItem], None],
        *,
        is_first_start: bool,
    ) -> None:
        lost_writes = LostWrites()
        self._known_state_writer = KnownStateWriter(
            membership, store, view, lost_writes, clock
        )
        self._follower = MetadataFollower(
            store,
            decoder,
            view,
            servers,
            lost_writes,
            clock,
            on_change,
            on_crash_record,
            is_first_start=is_first_start,
        )
        self._declaration_watch = DeclarationWatch(
            store, view, decoder, self._follower, clock
        )

    def start(self, tasks: TaskOwner) -> None:
        """Start the tasks, which run until ``tasks`` are stopped."""
        tasks.keep_running(self._follower.run, "metadata follower")
        tasks.keep_running(self._declaration_watch.run, "declaration watch")
        tasks.keep_running(self._known_state_writer.run, "known state")

    def changed(self) -> None:
        """Compare what the store holds with what was read, after a change."""
        self._known_state_writer.metadata_changed()
