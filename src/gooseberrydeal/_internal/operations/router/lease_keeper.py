"""Hold this host's lease in the metadata store."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import LeaseLostError, StoreError
from gooseberrydeal._internal.models.ids import LeaseId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.operations.router.metadata_view import HOST_PREFIX

logger = logging.getLogger(__name__)

# Outlasts most outages of the store, so that owners go on giving orders through them;
# a process that is killed takes its records over again when it restarts.
LEASE_SECONDS: Final = 9.0
# The own belief ends before the store's lease can.
BELIEF_SECONDS: Final = 7.5
_RENEW_SECONDS: Final = 1.5
_RETRY_SECONDS: Final = 0.4


class LeaseKeeper:
    """Renew one lease, which all records of this host are bound to.

    Validity is judged by a clock that counts a suspended machine's time.
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

    @property
    def lease(self) -> LeaseId | None:
        """Return the lease, ``None`` if none is held."""
        return self._lease

    @property
    def is_valid(self) -> bool:
        """Return whether no other host can have taken this host's records."""
        return self._lease is not None and self._elapsed() < self._valid_until

    async def run(self) -> None:
        """Hold a lease until cancelled."""
        while True:
            try:
                await self._renew()
                pause = _RENEW_SECONDS
            except StoreError as error:
                logger.info("the lease was not renewed: %s", error)
                pause = _RETRY_SECONDS
            await asyncio.sleep(pause * random.uniform(0.8, 1.2))

    async def release(self) -> None:
        """End the lease."""
        lease, self._lease = self._lease, None
        if lease is not None:
            try:
                await self._store.end_lease(lease)
            except StoreError as error:
                logger.info("the lease was not ended and will lapse: %s", error)

    async def _renew(self) -> None:
        begun = self._elapsed()
        if self._lease is not None:
            if await self._store.renew_lease(self._lease):
                self._valid_until = begun + BELIEF_SECONDS
                return
            logger.warning("the lease has ended")
            self._lease = None
        lease = await self._store.grant_lease(LEASE_SECONDS)
        key = HOST_PREFIX + self._membership.host
        try:
            await self._store.put(key, self._membership.encode(), lease=lease)
        except LeaseLostError:
            logger.warning("the new lease ended before it was used")
            return
        self._lease = lease
        self._valid_until = begun + BELIEF_SECONDS
        self._on_new_lease()
