"""Provide store leases that expire claim records after the claim window."""

from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ids import LeaseId
from gooseberrydeal._internal.network.interfaces.key_value_store import KeyValueStore
from gooseberrydeal._internal.policy.idempotency_key import MAX_CLOCK_SKEW_SECONDS
from gooseberrydeal._internal.utils.clock import Clock

_LEASE_SHARING_SECONDS: Final = 3600.0


class ClaimLease:
    """Share one store lease among all claims of an hour.

    The lease outlasts the claim window of the last claim that uses it, plus the clock
    skew on both ends. An idempotency key therefore expires before the store deletes
    its claim record. ``window`` returns the claim window in seconds.
    """

    def __init__(
        self, store: KeyValueStore, clock: Clock, window: Callable[[], int]
    ) -> None:
        self._store = store
        self._clock = clock
        self._window = window
        self._lease: LeaseId | None = None
        self._granted_at = 0.0
        self._granted_window = 0

    async def current(self) -> LeaseId:
        """Return the lease for a claim made now; grant a new one if necessary."""
        now = self._clock.monotonic()
        is_outdated = now - self._granted_at > _LEASE_SHARING_SECONDS
        if self._lease is None or is_outdated or self._window() > self._granted_window:
            window = self._window()
            ttl_seconds = window + _LEASE_SHARING_SECONDS + 2 * MAX_CLOCK_SKEW_SECONDS
            self._lease = await self._store.grant_lease(int(ttl_seconds))
            self._granted_at = now
            self._granted_window = window
        return self._lease
