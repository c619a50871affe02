"""Define a compare-and-swap on the key-value store."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import LeaseId


@dataclass(frozen=True, slots=True)
class ConditionalWrite:
    """Write a value only if the key was last modified at ``expected_revision``.

    An ``expected_revision`` of 0 requires that the key does not exist. A value of
    ``None`` deletes the key.
    """

    key: str
    expected_revision: int
    value: bytes | None
    lease: LeaseId | None = None
