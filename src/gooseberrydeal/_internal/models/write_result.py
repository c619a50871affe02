"""Describe the result of a compare-and-swap."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.record import Record


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Say whether a write applied, or else what the key holds instead."""

    applied: bool
    current: Record | None = None
    modified: int = 0
