"""Define the record by which a host owns an engine."""

import json
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.ids import HostId, LeaseId
from gooseberrydeal._internal.models.routing.store_revision import epoch_of
from gooseberrydeal._internal.utils.json_value import DECODE_ERRORS, decode_list
from gooseberrydeal._internal.utils.number_range import number_in

# Far above the takeover delay of any deployment.
_MAX_DELAY_SECONDS: Final = 3600.0


@dataclass(frozen=True, slots=True)
class OwnerClaim:
    """Store the owner of an engine and the lease to which its ownership is bound.

    ``revision`` is the ordered revision of the record. It increases with each owner and
    serves as the fencing number. ``epoch`` is that of the store when it was written.
    ``delay`` is the time, in seconds, for which the owner still had to wait before its
    first order; the owner writes the record again once that is over.
    """

    owner: HostId
    lease: LeaseId
    revision: int = 0
    epoch: int = 0
    delay: float = 0.0

    @property
    def is_stale(self) -> bool:
        """Return whether the store was restored since the record was written.

        The engine may have had a later owner, whose record is lost.
        """
        return self.epoch < epoch_of(self.revision)

    def encode(self) -> bytes:
        """Serialize the record for the store; leave out a delay that is over."""
        fields: list[object] = [self.owner, self.lease, self.epoch]
        if self.delay:
            fields.append(self.delay)
        return json.dumps(fields).encode()

    @classmethod
    def unreadable(cls, revision: int) -> "OwnerClaim":
        """Return a stale claim of no host, for a record that cannot be read."""
        return cls(HostId(""), LeaseId(""), revision, epoch=-1)

    @classmethod
    def decode(cls, data: bytes, revision: int) -> "OwnerClaim":
        """Parse a stored record; raise ``ValueError`` if it is malformed."""
        try:
            owner, lease, *rest = decode_list(data)
            epoch = int(rest[0]) if rest else 0
            delay = number_in(rest[1], 0.0, _MAX_DELAY_SECONDS) if rest[1:] else 0.0
            return cls(HostId(str(owner)), LeaseId(str(lease)), revision, epoch, delay)
        except DECODE_ERRORS as error:
            raise ValueError(f"owner record is malformed: {error}") from error
