"""Hold what the metadata store says."""

from dataclasses import dataclass, field
from typing import Final

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.owner_claim import OwnerClaim
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.policy.exchange_periods import ExchangePeriods

HOST_PREFIX: Final = "gooseberrydeal/hosts/"
OWNER_PREFIX: Final = "gooseberrydeal/owners/"


@dataclass(slots=True)
class AdapterVersion:
    """Hold an adapter's newest version and when this host learned of it."""

    version: int
    learned_at: float


@dataclass(slots=True)
class MetadataView:
    """Join configuration, versions, members and owners as last read.

    ``never_owned`` lists the servers that no host can have owned: all changes since
    they appeared are known, and none was a claim.
    """

    configuration: RoutingConfiguration | None = None
    versions: dict[AdapterKey, AdapterVersion] = field(default_factory=dict)
    hosts: dict[HostId, HostMembership] = field(default_factory=dict)
    owners: dict[ServerId, OwnerClaim] = field(default_factory=dict)
    never_owned: set[ServerId] = field(default_factory=set)
    is_complete: bool = False
    heard_at: float = 0.0

    @property
    def periods(self) -> ExchangePeriods:
        """Return how often hosts tell each other, and ask the store."""
        return ExchangePeriods.for_hosts(len(self.hosts))

    def newest(self, key: AdapterKey) -> int:
        """Return the newest declared version of an adapter, 0 if none is."""
        found = self.versions.get(key)
        return 0 if found is None else found.version
