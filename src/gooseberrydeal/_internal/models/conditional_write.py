"""Describe a compare-and-swap."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import LeaseId


@dataclass(frozen=True, slots=True)
class ConditionalWrite:
    """Write a value if the key was last modified as expected.

    ``expected`` is 0 for a key that must not exist. A value of ``None`` deletes.
    """

    key: str
    expected: int
    value: bytes | None
    lease: LeaseId | None = None
