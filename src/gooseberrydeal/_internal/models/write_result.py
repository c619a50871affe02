"""Define the result of a compare-and-swap."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.record import Record


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Tell whether a conditional write was applied.

    If so, ``mod_revision`` is the store revision of the write. If not, ``current`` is
    the record that the key has instead, ``None`` if the key does not exist.
    """

    applied: bool
    current: Record | None = None
    mod_revision: int = 0
