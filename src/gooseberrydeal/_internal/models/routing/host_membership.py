"""Define the membership record of a host in the metadata store."""

import json
from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import DomainName, HostId
from gooseberrydeal._internal.utils.json_value import DECODE_ERRORS, decode_list


@dataclass(frozen=True, slots=True)
class HostMembership:
    """Register a host and the address where it receives reports.

    Each start of the host's process has a different ``incarnation``.
    """

    host: HostId
    domain: DomainName
    address: str
    incarnation: int

    def encode(self) -> bytes:
        """Serialize the record for the store."""
        fields = [self.host, self.domain, self.address, self.incarnation]
        return json.dumps(fields).encode()

    @classmethod
    def decode(cls, data: bytes) -> "HostMembership":
        """Parse a stored record; raise ``ValueError`` if it is malformed."""
        try:
            host, domain, address, incarnation = decode_list(data)[:4]
            return cls(
                HostId(str(host)),
                DomainName(str(domain)),
                str(address),
                int(incarnation),
            )
        except DECODE_ERRORS as error:
            raise ValueError(f"host record is malformed: {error}") from error
