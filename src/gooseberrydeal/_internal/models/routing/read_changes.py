"""Hold the changes that one read of the metadata store returned."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.routing.store_item import StoreItem


@dataclass(frozen=True, slots=True)
class ReadChanges:
    """Hold changed items, and the ordered revision up to which they are complete.

    ``is_proof`` says whether all of them were read by calls of this read.
    """

    items: tuple[StoreItem, ...]
    revision: int
    is_proof: bool = True
