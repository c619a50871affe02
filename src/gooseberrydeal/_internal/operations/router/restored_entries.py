"""Recognise outdated entries of servers in a store that was restored from a copy."""

from collections.abc import Container

from gooseberrydeal._internal.exceptions import DeclarationError
from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.network.interfaces.metadata_decoder import (
    MetadataDecoder,
)
from gooseberrydeal._internal.operations.router.server_table import ServerTable


def is_outdated(
    item: StoreItem,
    decoder: MetadataDecoder,
    servers: ServerTable,
    seen: Container[ServerId],
) -> bool:
    """Return whether a restored item is a server's entry older than what was read.

    Servers that were removed, leaving or restarted write their entries again.
    """
    server = decoder.server_id(item.key)
    if server is None or server not in seen or item.value is None:
        return False
    record = servers.get(server)
    if record is None:
        return True
    try:
        entry = decoder.server(server, item.value)
    except DeclarationError:
        return True
    is_same_start = entry.started_at == record.entry.started_at
    is_older_start = entry.started_at < record.entry.started_at
    return is_older_start or (is_same_start and not record.accepts_requests)
