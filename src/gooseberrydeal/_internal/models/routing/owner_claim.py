"""Describe the record by which a host owns an engine."""

import json
from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import HostId, LeaseId


@dataclass(frozen=True, slots=True)
class OwnerClaim:
    """Name the owner of an engine and the lease that its claim is bound to.

    The store's revision of the record orders the owners.
    """

    owner: HostId
    lease: LeaseId
    revision: int = 0

    def encode(self) -> bytes:
        """Return the record's bytes."""
        return json.dumps([self.owner, self.lease]).encode()

    @classmethod
    def decode(cls, data: bytes, revision: int) -> "OwnerClaim":
        """Return the record, or raise ``ValueError``."""
        try:
            owner, lease = json.loads(data)
            return cls(HostId(str(owner)), LeaseId(str(lease)), revision)
        except (TypeError, ValueError) as error:
            raise ValueError("the owner record is unreadable") from error
