"""Describe the durable record of a server's owner."""

import json
from dataclasses import asdict, dataclass

from gooseberrydeal._internal.models.ids import FencingNumber


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """Name the owner of a server; ``epoch`` only ever grows.

    A released record has an owner that gives no more orders.
    """

    owner: str
    incarnation: str
    epoch: FencingNumber
    is_released: bool
    attempt: str

    def encode(self) -> bytes:
        """Return the stored form."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, data: bytes) -> "OwnerRecord":
        """Return the record of a stored form, or raise ``ValueError``."""
        try:
            return cls(**json.loads(data))
        except TypeError as error:
            raise ValueError("the owner record is malformed") from error
