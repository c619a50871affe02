"""Simulate the metadata store in memory, with faults."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from gooseberrydeal._internal.exceptions import (
    LeaseLostError,
    StoreHistoryError,
    StoreUnansweredError,
    StoreUnavailableError,
)
from gooseberrydeal._internal.models.ids import LeaseId
from gooseberrydeal._internal.models.routing.store_item import StoreItem, StorePage
from gooseberrydeal._internal.models.routing.store_revision import (
    epoch_of,
    number_of,
    ordered_revision,
)


@dataclass
class StoreData:
    """Hold the store's data, shared by the clients of all hosts.

    ``epoch`` counts how often it was restored from a copy. ``leases`` maps each lease
    to the time at which it expires. Changes up to ``oldest_revision`` are no longer in
    the history. Watches return nothing while ``hides_changes`` is set, and
    those that wait fail when ``watch_cuts`` is increased.
    """

    epoch: int = 0
    revision: int = 10
    items: dict[str, StoreItem] = field(default_factory=dict)
    history: list[StoreItem] = field(default_factory=list)
    oldest_revision: int = 0
    leases: dict[LeaseId, float] = field(default_factory=dict)
    lease_keys: dict[str, LeaseId] = field(default_factory=dict)
    last_lease_number: int = 0
    hides_changes: bool = False
    watch_cuts: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, key: str, value: bytes | None, lease: LeaseId | None) -> int:
        """Write a key, or delete it if the value is ``None``; return the revision."""
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

    def expire_leases(self, now: float) -> None:
        """Revoke the leases whose time has run out."""
        for lease in [known for known, until in self.leases.items() if until <= now]:
            self.revoke_lease(lease)

    def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete the keys attached to it."""
        self.leases.pop(lease, None)
        for key in [k for k, held in self.lease_keys.items() if held == lease]:
            self.write(key, None, None)

    def copy(self) -> "StoreData":
        """Return a copy from which the data can be restored."""
        return replace(
            self,
            items=dict(self.items),
            history=list(self.history),
            leases=dict(self.leases),
            lease_keys=dict(self.lease_keys),
        )

    def restore(self, saved: "StoreData", leases_until: float = 0.0) -> None:
        """Replace all data by those of a copy; later writes are lost.

        The leases of the copy last until ``leases_until`` if that is later than their
        end.
        """
        found = saved.copy()
        self.epoch += 1
        self.revision = found.revision
        self.items, self.history = found.items, found.history
        self.leases = {k: max(t, leases_until) for k, t in found.leases.items()}
        self.lease_keys = found.lease_keys
        self.last_lease_number = found.last_lease_number

    def ordered(self, item: StoreItem) -> StoreItem:
        """Return an item with ordered revisions."""
        return replace(
            item,
            revision=ordered_revision(self.epoch, item.revision),
            create_revision=ordered_revision(self.epoch, item.create_revision),
        )

    def compact_history(self) -> None:
        """Drop all past changes, so that clients have to read all items again."""
        self.history.clear()
        self.oldest_revision = self.revision


_ANSWER_SECONDS = 0.004
_CALL_TIMEOUT_SECONDS = 1.5


class FakeMetadataStore:
    """Replace the platform's client of the metadata store, for one host.

    Calls fail while ``is_cut`` is set and hang while ``is_silent`` is set. ``put``
    writes the key but raises an error while ``loses_answers`` is set. Reads of items
    fail while ``rejects_reads`` is set, other calls while ``rejects_writes`` is. A call
    takes twice ``answer_seconds``.
    """

    def __init__(self, data: StoreData) -> None:
        self.data = data
        self.is_cut = False
        self.is_silent = False
        self.loses_answers = False
        self.rejects_reads = False
        self.rejects_writes = False
        self.answer_seconds = _ANSWER_SECONDS
        self._lease_seconds: dict[LeaseId, float] = {}

    async def list(self, prefix: str) -> StorePage:
        await self._pass_read()
        found = [i for k, i in sorted(self.data.items.items()) if k.startswith(prefix)]
        return self._page(found)

    async def get(self, key: str) -> StorePage:
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
                await self._pass_read()
        except TimeoutError as error:
            raise StoreUnansweredError("no answer from the store") from error
        found = self.data.items.get(key)
        return self._page([] if found is None else [found])

    async def changes(
        self,
        prefix: str,
        after: int,
        wait: float,
        limit: float,
        on_size: Callable[[int], None] = lambda size: None,
    ) -> StorePage:
        try:
            async with asyncio.timeout(wait + limit):
                return await self._changes(prefix, after, wait)
        except TimeoutError as error:
            raise StoreUnansweredError("no answer from the store") from error

    async def _changes(self, prefix: str, after: int, wait: float) -> StorePage:
        await self._pass_read()
        epoch, after = epoch_of(after), number_of(after)
        if after < self.data.oldest_revision:
            raise StoreHistoryError("revision is compacted")
        until = asyncio.get_running_loop().time() + wait
        cuts = self.data.watch_cuts
        while True:
            if self.data.watch_cuts != cuts:
                raise StoreUnansweredError("the watch was cut")
            if epoch != self.data.epoch:
                raise StoreHistoryError("store was restored")
            if after < self.data.oldest_revision:
                raise StoreHistoryError("revision is compacted")
            events = [
                i
                for i in self.data.history
                if i.revision > after and i.key.startswith(prefix)
                if not self.data.hides_changes
            ]
            remaining = until - asyncio.get_running_loop().time()
            if events or (remaining <= 0 and not self.data.hides_changes):
                page = self._page(events)
                await self._pass_read()
                return page
            try:
                async with asyncio.timeout(min(max(remaining, 0.05), 0.2)):
                    await self.data.changed.wait()
            except TimeoutError:
                await self._pass_read()

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        if_revision: int | None = None,
        lease: LeaseId | None = None,
    ) -> int | None:
        await self._pass_write()
        known = self.data.items.get(key)
        number = None if if_revision is None else number_of(if_revision)
        if number is not None and number != (known.revision if known else 0):
            return None
        if lease is not None and not self._holds_lease(lease):
            raise LeaseLostError("lease has ended")
        revision = self.data.write(key, value, lease)
        if self.loses_answers:
            raise StoreUnansweredError("answer lost")
        return ordered_revision(self.data.epoch, revision)

    async def remove(self, key: str, *, if_revision: int) -> bool:
        await self._pass_write()
        known = self.data.items.get(key)
        if known is None or known.revision != number_of(if_revision):
            return False
        self.data.write(key, None, None)
        return True

    async def grant_lease(self, seconds: float) -> LeaseId:
        await self._pass_write()
        self.data.last_lease_number += 1
        lease = LeaseId(f"{self.data.epoch}/{self.data.last_lease_number}")
        self._lease_seconds[lease] = seconds
        self.data.leases[lease] = asyncio.get_running_loop().time() + seconds
        return lease

    async def renew_lease(self, lease: LeaseId) -> bool:
        await self._pass_write()
        if not self._holds_lease(lease):
            return False
        until = asyncio.get_running_loop().time() + self._lease_seconds[lease]
        self.data.leases[lease] = until
        return True

    async def end_lease(self, lease: LeaseId) -> None:
        await self._pass_write()
        self.data.revoke_lease(lease)

    def _holds_lease(self, lease: LeaseId) -> bool:
        is_current = lease.startswith(f"{self.data.epoch}/")
        return is_current and lease in self.data.leases

    def _page(self, items: Iterable[StoreItem]) -> StorePage:
        ordered = tuple(map(self.data.ordered, items))
        return StorePage(ordered, ordered_revision(self.data.epoch, self.data.revision))

    async def _pass_read(self) -> None:
        await self._pass_network()
        if self.rejects_reads:
            raise StoreUnavailableError("store rejects reads")

    async def _pass_write(self) -> None:
        await self._pass_network()
        if self.rejects_writes:
            raise StoreUnavailableError("store rejects writes")

    async def _pass_network(self) -> None:
        """Simulate the network: a delay, then a hang or an error if a fault is set."""
        await asyncio.sleep(self.answer_seconds)
        self.data.expire_leases(asyncio.get_running_loop().time())
        if self.is_silent:
            # This call never returns, even after the store answers again.
            await asyncio.Event().wait()
        if self.is_cut:
            await asyncio.sleep(1.5)
            raise StoreUnavailableError("store is cut off")
