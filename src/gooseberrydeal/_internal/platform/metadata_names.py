"""Decode the metadata that the platform and its operators write to the store."""

from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.platform.account_codec import without_keys
from gooseberrydeal._internal.platform.configuration_codec import (
    decode_adapter_version,
    decode_configuration,
)
from gooseberrydeal._internal.platform.server_codec import decode_server

_DECLARATION_PREFIX: Final = "op/"
_CONFIGURATION_KEY: Final = "op/config"
_VERSION_PREFIX: Final = "op/version/"
_SERVER_PREFIX: Final = "servers/"


class PlatformMetadataCodec:
    """Recognise the platform's keys and decode their values."""

    # A declaration is read twice, by a watch of its own and with all changes.
    _last: tuple[bytes, RoutingConfiguration] | None = None

    @property
    def declaration_prefix(self) -> str:
        """Return how the keys begin under which operators declare."""
        return _DECLARATION_PREFIX

    @property
    def configuration_key(self) -> str:
        """Return the key that holds the newest configuration."""
        return _CONFIGURATION_KEY

    @property
    def version_prefix(self) -> str:
        """Return how the keys begin that declare versions of adapters."""
        return _VERSION_PREFIX

    @property
    def server_prefix(self) -> str:
        """Return how the keys of servers' entries begin."""
        return _SERVER_PREFIX

    def configuration(self, item: StoreItem) -> RoutingConfiguration | None:
        """Return the routing configuration, or ``None`` if the item is something else.

        Raises :class:`DeclarationError` if the value is invalid.
        """
        if item.key != _CONFIGURATION_KEY or item.value is None:
            return None
        if self._last is None or self._last[0] != item.value:
            self._last = item.value, decode_configuration(item.value)
        return self._last[1]

    def without_keys(self, value: bytes) -> bytes:
        """Return a valid configuration with digests in place of accounts' keys."""
        return without_keys(value)

    def adapter_version(self, item: StoreItem) -> tuple[AdapterKey, int] | None:
        """Return an adapter and its declared version, or ``None`` for other items.

        Raises :class:`DeclarationError` if the value is invalid.
        """
        if not item.key.startswith(_VERSION_PREFIX) or item.value is None:
            return None
        return decode_adapter_version(item.value)

    def server_id(self, key: str) -> ServerId | None:
        """Return the server that a key registers, or ``None`` for other keys."""
        if not key.startswith(_SERVER_PREFIX):
            return None
        return ServerId(key.removeprefix(_SERVER_PREFIX))

    def server_key(self, server: ServerId) -> str:
        """Return the key under which a server registers."""
        return _SERVER_PREFIX + server

    def server(self, server: ServerId, value: bytes) -> ServerEntry:
        """Return a server's registration, or raise :class:`DeclarationError`."""
        return decode_server(server, value)
