"""Define the items of the metadata store."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class StoreItem:
    """Hold a key, its value and the store revisions of its last change and creation.

    The value is ``None`` if the change removed the key. Revisions are ordered, so they
    rise also when the store is restored from a copy.
    """

    key: str
    value: bytes | None = field(repr=False)
    revision: int
    create_revision: int = 0


@dataclass(frozen=True, slots=True)
class StorePage:
    """Hold the items of one read and the ordered revision at which they were read."""

    items: tuple[StoreItem, ...]
    revision: int
