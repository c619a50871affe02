"""Divide the region's load permits among the keepers."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Final
from uuid import uuid4

from gooseberrydeal._internal.exceptions import HostListError, StoreError
from gooseberrydeal._internal.models.budget_record import BudgetRecord
from gooseberrydeal._internal.models.conditional_write import ConditionalWrite
from gooseberrydeal._internal.models.platform_limits import PlatformLimits
from gooseberrydeal._internal.models.record import Record
from gooseberrydeal._internal.network.interfaces.host_list import HostList
from gooseberrydeal._internal.network.interfaces.key_value_store import KeyValueStore
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.resolved_write import write_resolved
from gooseberrydeal._internal.policy.permit_pool import (
    WINDOW_SECONDS,
    PermitPool,
    divide_permits,
)
from gooseberrydeal._internal.utils import rendezvous
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

_RECORD_KEY: Final = "budget/permits"
_SETTLED_INTERVAL_SECONDS: Final = 5.0
_UNSETTLED_INTERVAL_SECONDS: Final = 0.5
_MAX_WRITERS: Final = 2


class BudgetDivision:
    """Maintain the stored record that allocates load permits to keepers.

    The permits of an unreachable member stay reserved until the member has reported
    that it is leaving, the platform's host list no longer contains its host, or its
    process has been replaced. A member that is only disconnected keeps using its
    permits, so handing them out earlier could exceed the rate limit.
    """

    def __init__(
        self,
        store: KeyValueStore,
        host_list: HostList,
        context: KeeperContext,
        pool: PermitPool,
        limits: Callable[[], PlatformLimits | None],
    ) -> None:
        self._store = store
        self._host_list = host_list
        self._context = context
        self._pool = pool
        self._limits = limits
        self._record: BudgetRecord | None = None
        self._is_confirmed = False
        self._tasks = TaskOwner()

    def start(self) -> None:
        """Start the background task that polls and updates the record."""
        self._tasks.start(self._run(), "budget division")

    async def stop(self) -> None:
        """Stop the background task."""
        await self._tasks.stop()

    async def update(self) -> None:
        """Read the record and replace it if the allocation is out of date.

        Raises :class:`StoreError`.
        """
        stored = await self._store.get(_RECORD_KEY)
        if stored is not None:
            self._adopt_stored(stored)
        next_record = await self._next_record(stored)
        if next_record is None or not self._is_writer(next_record):
            return
        write = ConditionalWrite(
            _RECORD_KEY,
            0 if stored is None else stored.mod_revision,
            next_record.encode(),
        )
        result = await write_resolved(
            self._store, write, lambda value: value == next_record.encode()
        )
        if result.applied:
            self._adopt_record(next_record)

    def confirm(self) -> None:
        """Make new permits usable once all members have adopted this allocation."""
        record = self._record
        if record is None or self._is_confirmed:
            return
        hosts = self._context.view.hosts
        for member in record.members:
            if member == self._context.host:
                continue
            report = hosts.get(member)
            if report is None or report.budget_epoch < record.epoch:
                return
        self._is_confirmed = True
        self._pool.confirm(self._context.clock.monotonic())

    async def _run(self) -> None:
        while True:
            try:
                await self.update()
            except StoreError:
                logger.debug("load budget could not be read or updated, retrying")
            self.confirm()
            is_settled = self._is_confirmed and self._is_current()
            interval = (
                _SETTLED_INTERVAL_SECONDS if is_settled else _UNSETTLED_INTERVAL_SECONDS
            )
            await asyncio.sleep(interval * random.uniform(0.75, 1.25))

    def _adopt_stored(self, stored: Record) -> None:
        try:
            record = BudgetRecord.decode(stored.value)
        except ValueError:
            logger.error("load budget record in the store is malformed, ignoring it")
            return
        self._adopt_record(record)

    def _adopt_record(self, record: BudgetRecord) -> None:
        if self._record is not None and record.epoch <= self._record.epoch:
            return
        self._record = record
        self._is_confirmed = False
        self._pool.adopt(record.epoch, record.members.get(self._context.host, 0))

    def _live_hosts(self) -> set[str]:
        now = self._context.clock.monotonic()
        live = {report.host for report in self._context.view.live_hosts(now)}
        return live | {self._context.host}

    def _is_current(self) -> bool:
        return (
            self._record is not None and set(self._record.members) == self._live_hosts()
        )

    async def _next_record(self, stored: Record | None) -> BudgetRecord | None:
        limits = self._limits()
        if limits is None:
            return None
        total = self._total_permits(limits)
        record = self._record if stored is not None else None
        live = self._live_hosts()
        if record is None:
            return BudgetRecord(
                1, total, divide_permits(total, sorted(live), {}), {}, _new_attempt_id()
            )
        reserved = await self._reserved_permits(record, live)
        is_unchanged = set(record.members) == live and record.total == total
        if is_unchanged and reserved == record.reserved:
            return None
        members = divide_permits(total, sorted(live), reserved)
        return BudgetRecord(
            record.epoch + 1, total, members, reserved, _new_attempt_id()
        )

    async def _reserved_permits(
        self, record: BudgetRecord, live: set[str]
    ) -> dict[str, int]:
        """Return the permits of unreachable members that may still be running."""
        unreachable = {
            name: count
            for name, count in {**record.reserved, **record.members}.items()
            if name not in live and count > 0
        }
        if not unreachable:
            return {}
        leaving = {
            name
            for name, report in self._context.view.hosts.items()
            if report.is_leaving
        }
        listed_addresses = await self._listed_addresses()
        return {
            name: count
            for name, count in unreachable.items()
            if name not in leaving and self._may_be_running(name, listed_addresses)
        }

    def _may_be_running(self, host: str, listed_addresses: set[str] | None) -> bool:
        if listed_addresses is None:
            return True
        report = self._context.view.hosts.get(host)
        return report is None or report.address in listed_addresses

    async def _listed_addresses(self) -> set[str] | None:
        try:
            return {item.address for item in await self._host_list.read()}
        except HostListError:
            return None

    def _is_writer(self, next_record: BudgetRecord) -> bool:
        """Return whether this keeper writes the record.

        Only a few members write, to limit conflicts between concurrent writes.
        """
        ranked = rendezvous.ranked(str(next_record.epoch), next_record.members)
        return self._context.host in ranked[:_MAX_WRITERS]

    def _total_permits(self, limits: PlatformLimits) -> int:
        permits_per_window = int(limits.loads_per_second * WINDOW_SECONDS)
        return min(permits_per_window, limits.loads_in_flight)


def _new_attempt_id() -> str:
    return uuid4().hex
