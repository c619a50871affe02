"""Name the store's keys that the platform and its operators write."""

from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.platform.configuration_codec import (
    decode_adapter_version,
    decode_configuration,
)
from gooseberrydeal._internal.platform.server_codec import decode_server

_CONFIGURATION: Final = "op/config"
_VERSIONS: Final = "op/version/"
_SERVERS: Final = "servers/"


class PlatformMetadataNames:
    """Translate the platform's keys and values."""

    def configuration(self, item: StoreItem) -> RoutingConfiguration | None:
        """Return the configuration if the item is one."""
        if item.key != _CONFIGURATION or item.value is None:
            return None
        return decode_configuration(item.value)

    def adapter_version(self, item: StoreItem) -> tuple[AdapterKey, int] | None:
        """Return a declared version if the item is one."""
        if not item.key.startswith(_VERSIONS) or item.value is None:
            return None
        return decode_adapter_version(item.value)

    def server_id(self, key: str) -> ServerId | None:
        """Return whose entry a key holds."""
        if not key.startswith(_SERVERS):
            return None
        return ServerId(key.removeprefix(_SERVERS))

    def server(self, server: ServerId, value: bytes) -> ServerEntry:
        """Return a server's entry."""
        return decode_server(server, value)
