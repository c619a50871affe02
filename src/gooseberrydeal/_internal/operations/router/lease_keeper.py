"""Obtain and renew this host's lease in the metadata store."""

import asyncio
import logging
import math
import random
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import LeaseLostError, StoreError
from gooseberrydeal._internal.models.ids import LeaseId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.operations.router.metadata_view import HOST_PREFIX

logger = logging.getLogger(__name__)

# Longer than most outages of the store, so that owners can keep sending orders during
# one. A process that was killed takes over its own records when it restarts.
LEASE_SECONDS: Final = 9.0
# This host stops relying on its lease before the lease can end in the store.
LOCAL_VALIDITY_SECONDS: Final = 7.5
_RENEW_INTERVAL_SECONDS: Final = 1.5
_RETRY_INTERVAL_SECONDS: Final = 0.4


class LeaseKeeper:
    """Renew the lease that all records of this host in the store are bound to.

    Validity is measured by a clock that also runs while the machine is suspended.
    """

    def __init__(
        self,
        store: MetadataStore,
        membership: HostMembership,
        elapsed: Callable[[], float],
        on_new_lease: Callable[[], None],
    ) -> None:
        self._store = store
        self._membership = membership
        self._elapsed = elapsed
        self._on_new_lease = on_new_lease
        self._lease: LeaseId | None = None
        self._valid_until = 0.0
        # Leases that were lost while they would still have been valid, and until when.
        self._lost: dict[LeaseId, float] = {}
        self._discarded = asyncio.Event()

    @property
    def lease(self) -> LeaseId | None:
        """Return the id of the lease, ``None`` if none is held."""
        return self._lease

    @property
    def is_valid(self) -> bool:
        """Return whether no other host can have claimed this host's records."""
        return self._lease is not None and self._elapsed() < self._valid_until

    @property
    def seconds_since_renewal(self) -> float:
        """Return the age of the last renewal, infinity if no lease is held."""
        if self._lease is None:
            return math.inf
        return self._elapsed() - self._valid_until + LOCAL_VALIDITY_SECONDS

    def was_valid(self, lease: LeaseId) -> bool:
        """Return whether no other host can give orders yet instead of this one.

        True also shortly after ``lease`` was lost, until it would not have been valid.
        """
        if lease == self._lease:
            return self.is_valid
        return self._elapsed() < self._lost.get(lease, 0.0)

    async def run(self) -> None:
        """Obtain a lease and renew it until cancelled."""
        while True:
            try:
                await self._renew()
                delay = _RENEW_INTERVAL_SECONDS
            except StoreError as error:
                logger.info(
                    "host lease was neither renewed nor obtained; retrying: %s", error
                )
                delay = _RETRY_INTERVAL_SECONDS
            try:
                async with asyncio.timeout(delay * random.uniform(0.8, 1.2)):
                    await self._discarded.wait()
            except TimeoutError:
                continue
            self._discarded.clear()

    def discard(self) -> None:
        """Give the lease up without ending it, and obtain a new one soon.

        A store that was restored from a copy may have given its id to another host.
        """
        self._forget()
        self._discarded.set()

    def _forget(self) -> None:
        now = self._elapsed()
        self._lost = {
            lease: until for lease, until in self._lost.items() if until > now
        }
        if self._lease is not None:
            self._lost[self._lease] = self._valid_until
        self._lease = None
        self._valid_until = 0.0

    async def release(self) -> None:
        """End the lease in the store; if that fails, it expires there."""
        lease, self._lease = self._lease, None
        if lease is not None:
            try:
                await self._store.end_lease(lease)
            except StoreError as error:
                logger.info(
                    "host lease was not ended in the store and will expire there: %s",
                    error,
                )

    async def _renew(self) -> None:
        started_at = self._elapsed()
        if self._lease is not None:
            if await self._store.renew_lease(self._lease):
                self._valid_until = started_at + LOCAL_VALIDITY_SECONDS
                return
            logger.warning("host lease has ended in the store; requesting a new one")
            self._forget()
        lease = await self._store.grant_lease(LEASE_SECONDS)
        key = HOST_PREFIX + self._membership.host
        try:
            await self._store.put(key, self._membership.encode(), lease=lease)
        except LeaseLostError:
            logger.warning(
                "new host lease ended before the host was registered with it"
            )
            return
        self._lease = lease
        self._valid_until = started_at + LOCAL_VALIDITY_SECONDS
        self._on_new_lease()
