"""Describe a record of the key-value service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Record:
    """Hold a key with its value and the number of its last modification."""

    key: str
    value: bytes
    modified: int
