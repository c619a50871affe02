"""Describe the record that a host keeps in the metadata store."""

import json
from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import DomainName, HostId


@dataclass(frozen=True, slots=True)
class HostMembership:
    """Say where a host receives reports; a new process has a new incarnation."""

    host: HostId
    domain: DomainName
    address: str
    incarnation: int

    def encode(self) -> bytes:
        """Return the record's bytes."""
        fields = [self.host, self.domain, self.address, self.incarnation]
        return json.dumps(fields).encode()

    @classmethod
    def decode(cls, data: bytes) -> "HostMembership":
        """Return the record, or raise ``ValueError``."""
        try:
            host, domain, address, incarnation = json.loads(data)
            return cls(
                HostId(str(host)),
                DomainName(str(domain)),
                str(address),
                int(incarnation),
            )
        except (TypeError, ValueError) as error:
            raise ValueError("the host record is unreadable") from error
