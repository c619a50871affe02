"""Define the interface that decodes what the platform writes to the store."""

from typing import Protocol

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.models.routing.store_item import StoreItem


class MetadataDecoder(Protocol):
    """Decode the keys and values that the platform writes to the metadata store."""

    @property
    def declaration_prefix(self) -> str:
        """Return how the keys begin under which operators declare."""
        ...

    @property
    def configuration_key(self) -> str:
        """Return the key that holds the newest configuration."""
        ...

    @property
    def version_prefix(self) -> str:
        """Return how the keys begin that declare versions of adapters."""
        ...

    @property
    def server_prefix(self) -> str:
        """Return how the keys of servers' entries begin."""
        ...

    def configuration(self, item: StoreItem) -> RoutingConfiguration | None:
        """Return the configuration that an item holds, ``None`` for other items."""
        ...

    def without_keys(self, value: bytes) -> bytes:
        """Return a valid configuration with digests in place of accounts' keys."""
        ...

    def adapter_version(self, item: StoreItem) -> tuple[AdapterKey, int] | None:
        """Return an adapter and its declared version, ``None`` for other items."""
        ...

    def server_id(self, key: str) -> ServerId | None:
        """Return the server whose entry a key holds, ``None`` for other keys."""
        ...

    def server_key(self, server: ServerId) -> str:
        """Return the key of a server's entry."""
        ...

    def server(self, server: ServerId, value: bytes) -> ServerEntry:
        """Decode the entry of a server."""
        ...
