"""Describe the leased record of an entry host."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Say where a keeper listens; the record goes when its lease lapses."""

    host: str
    domain: str
    address: str
    incarnation: str

    def encode(self) -> bytes:
        """Return the stored form."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, data: bytes) -> "HostRecord":
        """Return the record of a stored form, or raise ``ValueError``."""
        try:
            return cls(**json.loads(data))
        except TypeError as error:
            raise ValueError("the host record is malformed") from error
