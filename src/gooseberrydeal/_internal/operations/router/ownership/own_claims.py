"""Keep the claims under which this host gives orders to engines."""

from collections.abc import Collection, Mapping

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.owner_claim import OwnerClaim
from gooseberrydeal._internal.operations.router.lease_keeper import LeaseKeeper


class OwnClaims:
    """Keep this host's claims, and those that a restoration of the store ended.

    Owner records no longer count after a restoration. The host that owned an engine
    until then may claim it again without a delay.
    """

    def __init__(self, lease: LeaseKeeper) -> None:
        self._lease = lease
        self._claims: dict[ServerId, OwnerClaim] = {}
        # Claims that the last restoration ended.
        self._ended: dict[ServerId, OwnerClaim] = {}
        # Revisions of own claims under which another host may give orders.
        self._released: set[int] = set()

    def get(self, server: ServerId) -> OwnerClaim | None:
        """Return the last claim to an engine, ``None`` if there is none."""
        return self._claims.get(server)

    def add(self, server: ServerId, claim: OwnerClaim) -> None:
        """Add a claim under which this host gives orders from now on."""
        self._claims[server] = claim
        self._ended.pop(server, None)

    def holds(self, server: ServerId, record: OwnerClaim) -> bool:
        """Return whether an owner record is this host's last claim to an engine."""
        claim = self._claims.get(server)
        return claim is not None and claim.revision == record.revision

    def release(self, server: ServerId) -> None:
        """Leave an engine to another host, which may give orders under the claim."""
        self._released.add(self._claims.pop(server).revision)

    def is_released(self, claim: OwnerClaim) -> bool:
        """Return whether another host may give orders under a claim of this host."""
        return claim.revision in self._released

    def update(
        self,
        records: Mapping[ServerId, OwnerClaim],
        engines: Collection[ServerId],
        owned: Collection[ServerId],
    ) -> None:
        """Forget claims to other engines, and those that the store's records replaced.

        Those to ``owned`` engines are kept. A claim that the store has ended is
        forgotten as well, since another host may claim the engine from then on, also
        unseen by this one.
        """
        for server in self._claims.keys() - owned:
            record = records.get(server)
            is_held = record is not None and self.holds(server, record)
            if server not in engines or not is_held:
                del self._claims[server]
        for server in list(self._ended):
            record = records.get(server)
            if record is not None and not record.is_stale:
                del self._ended[server]

    def begin_epoch(self, restorations: int) -> None:
        """End all claims, as the store was restored from a copy.

        If it was restored more than once since this host read it, another host may have
        claimed an engine in between, and still wait to give orders.
        """
        self._ended = self._claims if restorations == 1 else {}
        self._claims = {}
        self._released.clear()

    def may_resume(self, server: ServerId) -> bool:
        """Return whether no other host can have given orders since this one did.

        Other hosts may have claimed the engine unseen, but wait before their first
        order for longer than the lease of this host would have been valid.
        """
        claim = self._ended.get(server)
        return claim is not None and self._lease.was_valid(claim.lease)
