"""Let claims expire after their window."""

from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ids import LeaseId
from gooseberrydeal._internal.network.interfaces.key_value_store import KeyValueStore
from gooseberrydeal._internal.policy.idempotency_key import MAX_CLOCK_SKEW_SECONDS
from gooseberrydeal._internal.utils.clock import Clock

_BUCKET_SECONDS: Final = 3600.0


class ClaimLease:
    """Share one lease among the claims of an hour.

    The lease outlasts the window of the bucket's last claim and the skew of clocks
    on both ends, so that a key expires before its claim does.
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
        """Return the lease for a claim made now."""
        now = self._clock.monotonic()
        is_old = now - self._granted_at > _BUCKET_SECONDS
        if self._lease is None or is_old or self._window() > self._granted_window:
            window = self._window()
            seconds = window + _BUCKET_SECONDS + 2 * MAX_CLOCK_SKEW_SECONDS
            self._lease = await self._store.grant_lease(int(seconds))
            self._granted_at = now
            self._granted_window = window
        return self._lease
