"""Hold the state last read from the metadata store."""

import math
from dataclasses import dataclass, field
from typing import Final

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey
from gooseberrydeal._internal.models.routing.adapter_versions import AdapterVersions
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.models.routing.known_state import KnownState
from gooseberrydeal._internal.models.routing.owner_claim import OwnerClaim
from gooseberrydeal._internal.models.routing.peer_request import MatchedRoute
from gooseberrydeal._internal.models.routing.route import Route
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.operations.router.accounts.store_proof import (
    StoreProof,
)
from gooseberrydeal._internal.policy.exchange_periods import ExchangePeriods
from gooseberrydeal._internal.utils.clock import SystemClock

OWN_PREFIX: Final = "gooseberrydeal/"
HOST_PREFIX: Final = OWN_PREFIX + "hosts/"
OWNER_PREFIX: Final = OWN_PREFIX + "owners/"
CRASH_PREFIX: Final = OWN_PREFIX + "crashes/"
KNOWN_STATE_KEY: Final = OWN_PREFIX + "known"


@dataclass(slots=True)
class MetadataView:
    """State last read from the metadata store.

    ``never_owned`` holds the servers that no host can have owned: this host has read
    all changes since their entry was created, or since the deployment's first start,
    and none was an ownership claim. ``store_epoch`` counts the store's restorations
    from a copy. ``is_complete`` says whether all items were read at least once,
    ``trusts_store`` whether other hosts had time to add what the store may have lost;
    there is no configuration before. ``known_state`` is their record and
    ``known_state_revision`` its revision, 0 if there is none.
    All starts of servers before ``starts_known_until`` were read, unless a later start
    followed. ``last_response_at`` is the time of the store's last response on the
    monotonic clock in seconds, 0 before the first. All changes since ``listed_at`` were
    read; some may have been missed before. All changes that were written before
    ``changes_read_until`` were read, on the same clock; likewise for those of hosts,
    owners and servers before ``registrations_read_until``. ``revision`` is that of the
    last read, 0 while all items have to be read. ``change_bound`` is the time, in
    seconds, by which hosts must act on a change in the store. ``is_confirmed`` says
    whether the store holds all that any host knew of, ``proof`` when it was last read.
    """

    configuration: RoutingConfiguration | None = None
    versions: dict[AdapterKey, AdapterVersions] = field(default_factory=dict)
    hosts: dict[HostId, HostMembership] = field(default_factory=dict)
    owners: dict[ServerId, OwnerClaim] = field(default_factory=dict)
    never_owned: set[ServerId] = field(default_factory=set)
    store_epoch: int = 0
    is_complete: bool = False
    trusts_store: bool = False
    known_state: KnownState | None = None
    known_state_revision: int = 0
    last_response_at: float = 0.0
    starts_known_until: float = -math.inf
    listed_at: float = math.inf
    changes_read_until: float = -math.inf
    registrations_read_until: float = -math.inf
    revision: int = 0
    change_bound: float = 2.0
    is_confirmed: bool = False
    proof: StoreProof = field(
        default_factory=lambda: StoreProof(SystemClock().seconds_since_boot)
    )

    @classmethod
    def create(cls, bounds: RoutingBounds, clock: SystemClock) -> "MetadataView":
        """Return the view of a host that has read nothing yet."""
        proof = StoreProof(clock.seconds_since_boot)
        return cls(change_bound=bounds.store_change, proof=proof)

    @property
    def is_settled(self) -> bool:
        """Return whether all hosts had time to add what this epoch's store lacks."""
        known = self.known_state
        is_current = known is not None and known.epoch == self.store_epoch
        return known is not None and is_current and known.is_settled

    @property
    def revision_in_use(self) -> int:
        """Return the version of the configuration in use, 0 if there is none."""
        return 0 if self.configuration is None else self.configuration.version

    def is_current(self, now: float) -> bool:
        """Return whether the store has answered within the time for changes."""
        return now - self.last_response_at <= self.change_bound

    def matched_route(self, route: Route, now: float) -> MatchedRoute:
        """Return what another host must agree on to serve a request of a route."""
        return MatchedRoute(self.revision_in_use, route.digest, self.is_current(now))

    @property
    def periods(self) -> ExchangePeriods:
        """Return the intervals of reports and store reads for this number of hosts."""
        return ExchangePeriods.for_hosts(len(self.hosts), self.change_bound)

    def declare(self, key: AdapterKey, version: int, declared_after: float) -> None:
        """Record a version of an adapter that was declared after ``declared_after``."""
        known = self.versions.get(key)
        if known is None:
            self.versions[key] = AdapterVersions.from_declaration(
                version, declared_after
            )
        else:
            known.declare(version, declared_after)

    def newest_version(self, key: AdapterKey) -> int:
        """Return the newest declared version of an adapter, 0 if none is declared."""
        found = self.versions.get(key)
        return 0 if found is None else found.newest
