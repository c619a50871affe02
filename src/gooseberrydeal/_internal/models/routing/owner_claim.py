"""Describe the record by which a host owns an engine."""

import json
from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import HostId


@dataclass(frozen=True, slots=True)
class OwnerClaim:
    """Name the owner of an engine; the store's revision orders the owners."""

    owner: HostId
    incarnation: int
    revision: int = 0

    def encode(self) -> bytes:
        """Return the record's bytes."""
        return json.dumps([self.owner, self.incarnation]).encode()

    @classmethod
    def decode(cls, data: bytes, revision: int) -> "OwnerClaim":
        """Return the record, or raise ``ValueError``."""
        try:
            owner, incarnation = json.loads(data)
            return cls(HostId(str(owner)), int(incarnation), revision)
        except (TypeError, ValueError) as error:
            raise ValueError("the owner record is unreadable") from error
