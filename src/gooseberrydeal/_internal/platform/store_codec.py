"""Encode and decode parts of the calls of the platform's metadata store."""

import base64
from typing import Any, Final

from gooseberrydeal._internal.models.routing.http_heads import ResponseHead
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.models.routing.store_revision import (
    number_of,
    ordered_revision,
)
from gooseberrydeal._internal.utils.json_value import JsonObject

# Rises by one each time the store is restored from a copy.
_EPOCH_HEADER: Final = b"store-era"
_MAX_EPOCH_DIGITS: Final = 9


def precondition(key: str, revision: int | None) -> list[dict[str, Any]]:
    """Return the rows that make a write depend on a key's revision."""
    if revision is None:
        return []
    return [{"key": key, "revision": number_of(revision)}]


def restorations(head: ResponseHead) -> int | None:
    """Return how often the store was restored, ``None`` if it does not say."""
    value = (head.first(_EPOCH_HEADER) or b"").strip()
    is_valid = value.isdigit() and len(value) <= _MAX_EPOCH_DIGITS
    return int(value) if is_valid else None


def decode_item(data: JsonObject, epoch: int) -> StoreItem:
    """Return an item that the store has sent in an epoch."""
    revision = ordered_revision(epoch, int(data["revision"]))
    if data.get("removed"):
        return StoreItem(str(data["key"]), None, revision)
    value = base64.b64decode(data["value"])
    created = ordered_revision(epoch, int(data.get("createdRev") or 0))
    return StoreItem(str(data["key"]), value, revision, created)
