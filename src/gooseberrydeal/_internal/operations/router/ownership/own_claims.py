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
        self._owned_before: set[ServerId] = set()
        # Revisions of own claims under which another host may give orders.
        self._released: set[int] = set()

    def get(self, server: ServerId) -> OwnerClaim | None:
        """Return the last claim to an engine, ``None`` if there is none."""
        return self._claims.get(server)

    def add(self, server: ServerId, claim: OwnerClaim) -> None:
        """Add a claim under which this host gives orders from now on."""
        self._claims[server] = claim
        self._owned_before.discard(server)

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
            is_held = (
                record is not None and record.revision == self._claims[server].revision
            )
            if server not in engines or not is_held:
                del self._claims[server]
        for server in list(self._owned_before):
            record = records.get(server)
            if record is not None and not record.is_stale:
                self._owned_before.remove(server)

    def begin_epoch(self) -> None:
        """End all claims, as the store was restored from a copy."""
        self._owned_before = {
            server
            for server, claim in self._claims.items()
            if self._lease.was_valid(claim.lease)
        }
        self._claims.clear()
        self._released.clear()

    def owned_until_restoration(self, server: ServerId) -> bool:
        """Return whether only this host gave orders until the last restoration."""
        return server in self._owned_before
