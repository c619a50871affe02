"""Hold the metadata store's data in memory, with faults."""

import asyncio
from dataclasses import dataclass, field

from gooseberrydeal._internal.exceptions import (
    LeaseLostError,
    StoreHistoryError,
    StoreUnansweredError,
    StoreUnavailableError,
)
from gooseberrydeal._internal.models.ids import LeaseId
from gooseberrydeal._internal.models.routing.store_item import StoreItem, StorePage


@dataclass
class StoreData:
    """Hold what all clients of one store share."""

    revision: int = 10
    items: dict[str, StoreItem] = field(default_factory=dict)
    history: list[StoreItem] = field(default_factory=list)
    oldest: int = 0
    leases: dict[LeaseId, float] = field(default_factory=dict)
    lease_keys: dict[str, LeaseId] = field(default_factory=dict)
    next_lease: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, key: str, value: bytes | None, lease: LeaseId | None) -> int:
        self.revision += 1
        known = self.items.get(key)
        create_revision = known.create_revision if known is not None else self.revision
        item = StoreItem(key, value, self.revision, create_revision)
        self.history.append(item)
        self.items.pop(key, None)
        self.lease_keys.pop(key, None)
        if value is not None:
            self.items[key] = item
            if lease is not None:
                self.lease_keys[key] = lease
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return self.revision

    def expire(self, now: float) -> None:
        for lease in [known for known, until in self.leases.items() if until <= now]:
            self.end(lease)

    def end(self, lease: LeaseId) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, held in self.lease_keys.items() if held == lease]:
            self.write(key, None, None)

    def forget_history(self) -> None:
        self.history.clear()
        self.oldest = self.revision


class FakeMetadataStore:
    """Stand where the platform's client does, for one host."""

    def __init__(self, data: StoreData) -> None:
        self.data = data
        self.is_cut = False
        self.is_silent = False
        self.loses_answers = False
        self._ttl: dict[LeaseId, float] = {}

    async def list(self, prefix: str) -> StorePage:
        await self._reach()
        found = [i for k, i in sorted(self.data.items.items()) if k.startswith(prefix)]
        return StorePage(tuple(found), self.data.revision)

    async def changes(
        self, prefix: str, after: int, wait: float, limit: float
    ) -> StorePage:
        try:
            async with asyncio.timeout(wait + limit):
                return await self._changes(prefix, after, wait)
        except TimeoutError as error:
            raise StoreUnansweredError("no answer") from error

    async def _changes(self, prefix: str, after: int, wait: float) -> StorePage:
        await self._reach()
        if after < self.data.oldest:
            raise StoreHistoryError("compacted")
        until = asyncio.get_running_loop().time() + wait
        while True:
            events = tuple(
                i
                for i in self.data.history
                if i.revision > after and i.key.startswith(prefix)
            )
            left = until - asyncio.get_running_loop().time()
            if events or left <= 0:
                await self._reach()
                return StorePage(events, self.data.revision)
            try:
                async with asyncio.timeout(min(left, 0.2)):
                    await self.data.changed.wait()
            except TimeoutError:
                await self._reach()

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        if_revision: int | None = None,
        lease: LeaseId | None = None,
    ) -> int | None:
        await self._reach()
        known = self.data.items.get(key)
        if if_revision is not None and if_revision != (known.revision if known else 0):
            return None
        if lease is not None and lease not in self.data.leases:
            raise LeaseLostError("ended")
        revision = self.data.write(key, value, lease)
        if self.loses_answers:
            raise StoreUnansweredError("lost")
        return revision

    async def remove(self, key: str, *, if_revision: int) -> bool:
        await self._reach()
        known = self.data.items.get(key)
        if known is None or known.revision != if_revision:
            return False
        self.data.write(key, None, None)
        return True

    async def grant_lease(self, seconds: float) -> LeaseId:
        await self._reach()
        self.data.next_lease += 1
        lease = LeaseId(str(self.data.next_lease))
        self._ttl[lease] = seconds
        self.data.leases[lease] = asyncio.get_running_loop().time() + seconds
        return lease

    async def renew_lease(self, lease: LeaseId) -> bool:
        await self._reach()
        if lease not in self.data.leases:
            return False
        until = asyncio.get_running_loop().time() + self._ttl[lease]
        self.data.leases[lease] = until
        return True

    async def end_lease(self, lease: LeaseId) -> None:
        await self._reach()
        self.data.end(lease)

    async def _reach(self) -> None:
        await asyncio.sleep(0.004)
        self.data.expire(asyncio.get_running_loop().time())
        if self.is_silent:
            # The connection stays silent, also when the store is back.
            await asyncio.Event().wait()
        if self.is_cut:
            await asyncio.sleep(1.5)
            raise StoreUnavailableError("cut off")
