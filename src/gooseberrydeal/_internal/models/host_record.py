"""Define the stored record of a running entry host."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Register an entry host and the address where its keeper listens.

    The store removes the record when its lease expires. Each start of the keeper has a
    different ``incarnation``.
    """

    host: str
    domain: str
    address: str
    incarnation: str

    def encode(self) -> bytes:
        """Serialize the record for the store."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, data: bytes) -> "HostRecord":
        """Parse a stored record; raise ``ValueError`` if it is malformed."""
        try:
            return cls(**json.loads(data))
        except TypeError as error:
            raise ValueError(f"host record is malformed: {error}") from error
