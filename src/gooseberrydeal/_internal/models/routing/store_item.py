"""Describe what the metadata store holds and how it changes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreItem:
    """Hold a key's value and the revision of its last change.

    The value of a removed key is ``None``.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0


@dataclass(frozen=True, slots=True)
class StorePage:
    """Hold items and the store's revision when they were read."""

    items: tuple[StoreItem, ...]
    revision: int
