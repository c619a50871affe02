"""Keep this host's record in the platform alive."""

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

LEASE_SECONDS: Final = 5
_RENEW_SECONDS: Final = 1.6
_RETRY_SECONDS: Final = 1.0
_MOST_RETRY_SECONDS: Final = 8.0


class HostLease:
    """Renew one lease a host, however many servers the host owns."""

    def __init__(
        self, store: KeyValueStore, record: HostRecord, on_change: Callable[[], None]
    ) -> None:
        self._store = store
        self._record = record
        self._on_change = on_change
        self._lease: LeaseId | None = None
        self._is_reachable = False
        self._retry_seconds = _RETRY_SECONDS
        self._tasks = TaskOwner()

    @property
    def key(self) -> str:
        """Return the key of the record."""
        return f"hosts/{self._record.domain}/{self._record.host}"

    @property
    def is_reachable(self) -> bool:
        """Return whether the platform answered the last call."""
        return self._is_reachable

    @property
    def is_held(self) -> bool:
        """Return whether the record stood at the last renewal."""
        return self._lease is not None

    def start(self) -> None:
        """Begin to renew."""
        self._tasks.start(self._run(), "host lease")

    async def stop(self) -> None:
        """Give the record up."""
        await self._tasks.stop()
        lease = self._lease
        self._lease = None
        if lease is None:
            return
        try:
            await self._store.revoke_lease(lease)
        except StoreError:
            logger.info("the lease could not be revoked and will lapse")

    async def abort(self) -> None:
        """End without giving the record up."""
        await self._tasks.stop()

    async def _run(self) -> None:
        while True:
            try:
                await self._renew()
                self._set_reachable(is_reachable=True)
                self._retry_seconds = _RETRY_SECONDS
                pause = _RENEW_SECONDS
            except StoreError:
                self._set_reachable(is_reachable=False)
                pause = self._retry_seconds
                self._retry_seconds = min(pause * 2, _MOST_RETRY_SECONDS)
            await asyncio.sleep(pause * random.uniform(0.75, 1.25))

    async def _renew(self) -> None:
        if self._lease is not None and await self._store.renew_lease(self._lease):
            return
        self._lease = None
        lease = await self._store.grant_lease(LEASE_SECONDS)
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
