"""Define the stored record of a backend server's owner."""

import json
from dataclasses import asdict, dataclass

from gooseberrydeal._internal.models.ids import FencingNumber


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """Store the owner of a backend server; ``epoch`` increases with each new owner.

    The owner of a released record sends the server no more orders. ``incarnation``
    identifies the owner's process and ``attempt`` the write.
    """

    owner: str
    incarnation: str
    epoch: FencingNumber
    is_released: bool
    attempt: str

    def encode(self) -> bytes:
        """Serialize the record for the store."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, data: bytes) -> "OwnerRecord":
        """Parse a stored record; raise ``ValueError`` if it is malformed."""
        try:
            return cls(**json.loads(data))
        except TypeError as error:
            raise ValueError(f"owner record is malformed: {error}") from error
