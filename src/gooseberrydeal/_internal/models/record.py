"""Define a record of the key-value store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Record:
    """Hold a key, its value and the store revision of its last modification."""

    key: str
    value: bytes
    mod_revision: int
