"""Apply what operators declare: the configuration and the versions of adapters."""

import logging
from collections.abc import Callable, Iterable

from gooseberrydeal._internal.exceptions import DeclarationError, PeerProtocolError
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey
from gooseberrydeal._internal.models.routing.known_state import ConfigurationSource
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.network.interfaces.metadata_decoder import (
    MetadataDecoder,
)
from gooseberrydeal._internal.network.known_state_codec import decode_known_state
from gooseberrydeal._internal.operations.router.metadata_view import (
    KNOWN_STATE_KEY,
    MetadataView,
)
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.lost_writes import LostWrites
from gooseberrydeal._internal.policy.store_trust import (
    CONFIRMATION_SECONDS,
    StoreTrust,
)

logger = logging.getLogger(__name__)


class DeclaredState:
    """Keep the newest configuration and versions, also if the store loses them.

    Hosts that know more than a restored store write it to a record there, from which
    other hosts read it. A host that has started uses no configuration until it trusts
    the store (:class:`StoreTrust`).
    """

    def __init__(
        self,
        decoder: MetadataDecoder,
        view: MetadataView,
        servers: ServerTable,
        lost_writes: LostWrites,
        clock: Callable[[], float],
        *,
        is_first_start: bool,
    ) -> None:
        self._decoder = decoder
        self._view = view
        self._servers = servers
        self._lost_writes = lost_writes
        self._clock = clock
        self._trust = StoreTrust(is_first_start=is_first_start)
        self._newest: RoutingConfiguration | None = None

    def begin_epoch(self) -> None:
        """Expect a store that was restored from a copy to lack all that is known."""
        known = {key: found.newest for key, found in self._view.versions.items()}
        self._lost_writes.begin_epoch(known)

    def configuration_read(
        self, item: StoreItem, configuration: RoutingConfiguration
    ) -> None:
        """Apply the configuration that the store holds."""
        self._lost_writes.configuration_stored(configuration.version)
        assert item.value is not None
        if self._is_newer(configuration):
            value = self._decoder.without_keys(item.value)
            self._note_newest(ConfigurationSource(item.key, value), configuration)

    def version_read(
        self, key: AdapterKey, version: int, declared_after: float
    ) -> None:
        """Apply an adapter's version that the store holds.

        It was declared after ``declared_after``.
        """
        self._lost_writes.version_stored(key, version)
        self._apply_version(key, version, declared_after)

    def known_state_listed(
        self, items: Iterable[StoreItem], declared_after: float
    ) -> None:
        """Apply what other hosts know before the listed items that it corrects."""
        missing = StoreItem(KNOWN_STATE_KEY, None, 0)
        found = (item for item in items if item.key == KNOWN_STATE_KEY)
        self.known_state_read(next(found, missing), declared_after)

    def known_state_read(self, item: StoreItem, declared_after: float) -> None:
        """Apply what other hosts know and the store lacks.

        That was declared after ``declared_after``.
        """
        self._view.known_state_revision = 0 if item.value is None else item.revision
        self._view.known_state = None
        self._lost_writes.departed_elsewhere({})
        if item.value is None:
            return
        try:
            state = decode_known_state(item.value)
        except PeerProtocolError as error:
            logger.warning("ignoring the record at %s: %s", item.key, error)
            return
        self._view.known_state = state
        for key, version in state.versions.items():
            if version > self._view.newest_version(key):
                self._lost_writes.version_known(key, version)
                self._apply_version(key, version, declared_after)
        if state.configuration is not None:
            self._apply_known_configuration(state.configuration)
        if state.epoch == self._view.store_epoch:
            self._lost_writes.departed_elsewhere(state.departed)

    def store_read(self) -> None:
        """Use the newest configuration if the store is trusted after this read."""
        self._trust.store_read(
            self._view.store_epoch,
            self._clock(),
            has_record=self._view.known_state is not None,
            is_settled=self._view.is_settled,
        )
        self.use_newest()
        self._view.is_confirmed = self._trust.is_confirmed

    def use_newest(self) -> None:
        """Use the newest configuration if the store is trusted by now."""
        self._trust.check(self._clock())
        self._view.trusts_store = self._trust.is_trusted
        newest = self._newest
        if not self._trust.is_trusted or newest is None:
            return
        if self._trust.is_unconfirmed and self._view.configuration is None:
            logger.warning(
                "no other host confirmed the content of the metadata store within"
                " %.1f s; if it was restored from a copy, acknowledged changes may be"
                " missing until they are written again",
                CONFIRMATION_SECONDS,
                extra={"revision": newest.version, "epoch": self._view.store_epoch},
            )
        if newest is not self._view.configuration:
            logger.info(
                "new configuration applied; written within the last %.2f s",
                self._clock() - self._view.changes_read_until,
                extra={"revision": newest.version},
            )
            self._view.configuration = newest
            self._servers.configure(newest)

    def _note_newest(
        self, source: ConfigurationSource, configuration: RoutingConfiguration
    ) -> None:
        self._newest = configuration
        self._lost_writes.configuration_known(source, configuration.version)

    def _is_newer(self, configuration: RoutingConfiguration) -> bool:
        newest = self._newest
        return newest is None or configuration.version > newest.version

    def _apply_known_configuration(self, source: ConfigurationSource) -> None:
        try:
            item = StoreItem(source.key, source.value, 0)
            configuration = self._decoder.configuration(item)
        except (DeclarationError, ValueError) as error:
            logger.warning("ignoring the configuration of other hosts: %s", error)
            return
        if configuration is not None and self._is_newer(configuration):
            value = self._decoder.without_keys(source.value)
            self._note_newest(ConfigurationSource(source.key, value), configuration)

    def _apply_version(
        self, key: AdapterKey, version: int, declared_after: float
    ) -> None:
        if version > self._view.newest_version(key):
            logger.info(
                "new adapter version declared within the last %.3f s",
                self._clock() - declared_after,
                extra={"adapter": str(key), "adapter_version": version},
            )
            self._view.declare(key, version, declared_after)
