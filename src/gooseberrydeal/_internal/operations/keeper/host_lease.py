"""Maintain this host's leased record in the platform's store."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import StoreError
from gooseberrydeal._internal.models.conditional_write import ConditionalWrite
from gooseberrydeal._internal.models.host_record import HostRecord
from gooseberrydeal._internal.models.ids import LeaseId
from gooseberrydeal._internal.network.interfaces.key_value_store import KeyValueStore
from gooseberrydeal._internal.operations.resolved_write import write_resolved
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

_LEASE_TTL_SECONDS: Final = 5
_RENEW_INTERVAL_SECONDS: Final = 1.6
_MIN_RETRY_SECONDS: Final = 1.0
_MAX_RETRY_SECONDS: Final = 8.0


class HostLease:
    """Register the host under a lease and renew the lease.

    There is one lease per host, regardless of how many servers the host owns.
    ``on_change`` is called when the record is written and when the platform becomes
    reachable or unreachable.
    """

    def __init__(
        self, store: KeyValueStore, record: HostRecord, on_change: Callable[[], None]
    ) -> None:
        self._store = store
        self._record = record
        self._on_change = on_change
        self._lease: LeaseId | None = None
        self._is_reachable = False
        self._next_retry_seconds = _MIN_RETRY_SECONDS
        self._tasks = TaskOwner()

    @property
    def key(self) -> str:
        """Return the store key of the host record."""
        return f"hosts/{self._record.domain}/{self._record.host}"

    @property
    def is_reachable(self) -> bool:
        """Return whether the platform's store answered the last lease update."""
        return self._is_reachable

    @property
    def is_held(self) -> bool:
        """Return whether the host record existed when the lease was last checked."""
        return self._lease is not None

    def start(self) -> None:
        """Start the background task that renews the lease."""
        self._tasks.start(self._run(), "host lease")

    async def stop(self) -> None:
        """Stop renewing and revoke the lease, which deletes the host record."""
        await self._tasks.stop()
        lease = self._lease
        self._lease = None
        if lease is None:
            return
        try:
            await self._store.revoke_lease(lease)
        except StoreError:
            logger.info(
                "host lease could not be revoked, the host record stays until expiry"
            )

    async def abort(self) -> None:
        """Stop renewing without revoking the lease."""
        await self._tasks.stop()

    async def _run(self) -> None:
        while True:
            try:
                await self._renew()
                self._set_reachable(is_reachable=True)
                self._next_retry_seconds = _MIN_RETRY_SECONDS
                delay = _RENEW_INTERVAL_SECONDS
            except StoreError:
                self._set_reachable(is_reachable=False)
                delay = self._next_retry_seconds
                self._next_retry_seconds = min(delay * 2, _MAX_RETRY_SECONDS)
            await asyncio.sleep(delay * random.uniform(0.75, 1.25))

    async def _renew(self) -> None:
        if self._lease is not None and await self._store.renew_lease(self._lease):
            return
        self._lease = None
        lease = await self._store.grant_lease(_LEASE_TTL_SECONDS)
        current = await self._store.get(self.key)
        data = self._record.encode()
        write = ConditionalWrite(
            self.key, 0 if current is None else current.mod_revision, data, lease
        )
        result = await write_resolved(self._store, write, lambda v: v == data)
        if result.applied:
            self._lease = lease
            self._on_change()

    def _set_reachable(self, *, is_reachable: bool) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        self._on_change()
