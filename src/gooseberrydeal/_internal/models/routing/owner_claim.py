"""Define the record by which a host owns an engine."""

import json
from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import HostId, LeaseId


@dataclass(frozen=True, slots=True)
class OwnerClaim:
    """Store the owner of an engine and the lease to which its ownership is bound.

    ``revision`` is the store revision of the record. It increases with each owner and
    serves as the fencing number.
    """

    owner: HostId
    lease: LeaseId
    revision: int = 0

    def encode(self) -> bytes:
        """Serialize the record for the store."""
        return json.dumps([self.owner, self.lease]).encode()

    @classmethod
    def decode(cls, data: bytes, revision: int) -> "OwnerClaim":
        """Parse a stored record; raise ``ValueError`` if it is malformed."""
        try:
            owner, lease = json.loads(data)
            return cls(HostId(str(owner)), LeaseId(str(lease)), revision)
        except (TypeError, ValueError) as error:
            raise ValueError(f"owner record is malformed: {error}") from error
