"""Divide the load permits of the region among the keepers."""

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

_KEY: Final = "budget/permits"
_SETTLED_SECONDS: Final = 5.0
_UNSETTLED_SECONDS: Final = 0.5
_WRITER_RANKS: Final = 2


class BudgetDivision:
    """Follow the record that says how many permits each keeper has.

    A lost member's permits stay reserved until the platform's host list says that
    the host is gone, or its process has been replaced, since a member that is only
    cut off goes on using them.
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
        """Begin to follow the record."""
        self._tasks.start(self._run(), "budget division")

    async def stop(self) -> None:
        """End."""
        await self._tasks.stop()

    async def round(self) -> None:
        """Read the record, renew it if members changed; raises StoreError."""
        found = await self._store.get(_KEY)
        if found is not None:
            self._adopt(found)
        wanted = await self._wanted(found)
        if wanted is None or not self._is_writer(wanted):
            return
        write = ConditionalWrite(
            _KEY, 0 if found is None else found.mod_revision, wanted.encode()
        )
        result = await write_resolved(
            self._store, write, lambda value: value == wanted.encode()
        )
        if result.applied:
            self._take(wanted)

    def confirm(self) -> None:
        """Use new permits once every other member has adopted the division."""
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
                await self.round()
            except StoreError:
                logger.debug("budget division waits for the platform")
            self.confirm()
            is_settled = self._is_confirmed and self._is_current()
            pause = _SETTLED_SECONDS if is_settled else _UNSETTLED_SECONDS
            await asyncio.sleep(pause * random.uniform(0.75, 1.25))

    def _adopt(self, found: Record) -> None:
        try:
            record = BudgetRecord.decode(found.value)
        except ValueError:
            logger.error("the budget record is malformed")
            return
        self._take(record)

    def _take(self, record: BudgetRecord) -> None:
        if self._record is not None and record.epoch <= self._record.epoch:
            return
        self._record = record
        self._is_confirmed = False
        self._pool.adopt(record.epoch, record.members.get(self._context.host, 0))

    def _live(self) -> set[str]:
        now = self._context.clock.monotonic()
        live = {report.host for report in self._context.view.live_hosts(now)}
        return live | {self._context.host}

    def _is_current(self) -> bool:
        return self._record is not None and set(self._record.members) == self._live()

    async def _wanted(self, found: Record | None) -> BudgetRecord | None:
        limits = self._limits()
        if limits is None:
            return None
        total = self._total(limits)
        record = self._record if found is not None else None
        live = self._live()
        if record is None:
            return BudgetRecord(
                1, total, divide_permits(total, sorted(live), {}), {}, _attempt()
            )
        reserved = await self._still_reserved(record, live)
        is_same = set(record.members) == live and record.total == total
        if is_same and reserved == record.reserved:
            return None
        members = divide_permits(total, sorted(live), reserved)
        return BudgetRecord(record.epoch + 1, total, members, reserved, _attempt())

    async def _still_reserved(
        self, record: BudgetRecord, live: set[str]
    ) -> dict[str, int]:
        """Return the permits of members that may be cut off, not gone."""
        lost = {
            name: count
            for name, count in {**record.reserved, **record.members}.items()
            if name not in live and count > 0
        }
        if not lost:
            return {}
        leaving = {
            name
            for name, report in self._context.view.hosts.items()
            if report.is_leaving
        }
        listed = await self._listed_addresses()
        return {
            name: count
            for name, count in lost.items()
            if name not in leaving and self._may_run(name, listed)
        }

    def _may_run(self, host: str, listed: set[str] | None) -> bool:
        if listed is None:
            return True
        report = self._context.view.hosts.get(host)
        return report is None or report.address in listed

    async def _listed_addresses(self) -> set[str] | None:
        try:
            return {item.address for item in await self._host_list.read()}
        except HostListError:
            return None

    def _is_writer(self, wanted: BudgetRecord) -> bool:
        """Let a few members write, so that not all compete for each change."""
        ranked = rendezvous.ranked(str(wanted.epoch), wanted.members)
        return self._context.host in ranked[:_WRITER_RANKS]

    def _total(self, limits: PlatformLimits) -> int:
        in_window = int(limits.loads_per_second * WINDOW_SECONDS)
        return min(in_window, limits.loads_in_flight)


def _attempt() -> str:
    return uuid4().hex
