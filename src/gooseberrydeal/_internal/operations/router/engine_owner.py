"""Give one engine its orders."""

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import ServerError
from gooseberrydeal._internal.models.ids import FencingNumber, HostId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.adapter_order import (
    OrderAction,
    OrderOutcome,
)
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.models.routing.server_entry import (
    ServerEntry,
    ServerState,
)
from gooseberrydeal._internal.models.routing.usage_report import EngineUsage
from gooseberrydeal._internal.network.interfaces.engine_orders import EngineOrders
from gooseberrydeal._internal.operations.router.base_models import BaseModels
from gooseberrydeal._internal.operations.router.engine_demand import EngineDemand
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.order_sequence import OrderSequence
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.status_publisher import StatusPublisher
from gooseberrydeal._internal.policy.adapter_slots import (
    MAX_CONCURRENT_LOADS,
    AdapterSlots,
    HeldCopy,
)
from gooseberrydeal._internal.policy.load_time import LoadTime
from gooseberrydeal._internal.policy.want_order import by_slack

logger = logging.getLogger(__name__)

# A report is some hundred milliseconds old; after an order it is read no sooner.
_REPORT_LAG_SECONDS: Final = 0.3
# Reports are priced: one is read no more often than this.
_REPORT_PACE_SECONDS: Final = 0.5
# A copy that the engine denies having is loading for longer than expected, up to this
# age; then the engine's report is read.
_LATE_SECONDS: Final = 0.5
_LATER_SECONDS: Final = 0.04
# An unload that waits for running requests is looked at again after this long.
_RECHECK_SECONDS: Final = 1.5
# An entry of the store is compared with the own view only if no order was given for
# this long, since entries are a heartbeat old.
_QUIET_SECONDS: Final = 2.5


class EngineOwner:
    """Load what waiting requests need and unload what is used least.

    Each order carries the number of orders before it, so that one that was given up
    cannot be carried out after a newer one.
    """

    def __init__(
        self,
        record: ServerRecord,
        orders: EngineOrders,
        view: MetadataView,
        host: HostId,
        fencing: FencingNumber,
        may_order: Callable[[], bool],
        fetching: Callable[[], int],
        publish: Callable[[EngineStatus], None],
        load_time: LoadTime,
        clock: Callable[[], float],
    ) -> None:
        engine = record.service.engine
        self._record = record
        self._orders = orders
        self._view = view
        self._may_order = may_order
        self._sequence = OrderSequence(record, orders, host, fencing, may_order, clock)
        self._base_models = BaseModels(record, self._sequence, clock)
        self._fetching = fetching
        self._load_time = load_time
        self._clock = clock
        self._slots = AdapterSlots(engine.adapter_slots if engine else 0)
        self._demand = EngineDemand()
        self._wake = asyncio.Event()
        self._started_at = record.entry.started_at
        self._read_at = 0.0
        self._recheck_at = math.inf
        self._unproved: set[AdapterCopyKey] = set()
        self._status = StatusPublisher(
            host,
            record.id,
            fencing,
            self._demand,
            self._slots,
            lambda: may_order() and self._sequence.is_known,
            lambda: self._base_models.held,
            lambda: view.periods.collect,
            publish,
            clock,
        )

    def take_usage(self, host: HostId, usage: EngineUsage) -> None:
        """Take a host's report over."""
        now = self._clock()
        for key, started in self._demand.take(host, usage, now):
            copy = self._slots.copies.get(key)
            if copy is None:
                continue
            copy.note_use(started, now)
            if key in self._unproved:
                self._unproved.discard(key)
                self._load_time.note_on_time()
        if usage.wants:
            self._wake.set()
        self._status.load_changed()

    def entry_changed(self, entry: ServerEntry) -> None:
        """Compare the engine's own entry with what is believed."""
        is_older = entry.started_at < self._started_at
        if is_older and self._clock() - self._read_at < _QUIET_SECONDS:
            # Written before the restart that a report has told of.
            return
        if entry.started_at != self._started_at:
            logger.info("engine has started again", extra={"server": entry.id})
            self._started_at = entry.started_at
            self._sequence.adopt(0, is_known=False)
            self._slots.reset([], [], self._clock())
            self._load_time.note_restart()
            self._wake.set()
            return
        is_quiet = self._clock() - self._sequence.last_at > _QUIET_SECONDS
        if entry.held is not None and is_quiet and self._sequence.is_known:
            if entry.order_count != self._sequence.count:
                self._sequence.doubt()
                self._wake.set()
            elif set(entry.held.adapters) != set(self._slots.copies):
                logger.info("engine's copies are not as believed")
                self._slots.reset(list(entry.held.adapters), [], self._clock())

    async def run(self) -> None:
        """Give orders until cancelled."""
        try:
            await self._run()
        finally:
            self._status.cancel()

    async def _run(self) -> None:
        published = 0.0
        while True:
            self._wake.clear()
            await self._step()
            now = self._clock()
            if now - published >= self._view.periods.heartbeat:
                self._status.publish()
                published = now
            try:
                async with asyncio.timeout(self._view.periods.heartbeat):
                    await self._wake.wait()
            except TimeoutError:
                silent = self._view.periods.host_timeout
                self._demand.drop_silent(self._clock(), silent)

    async def _step(self) -> None:
        entry = self._record.entry
        if not self._may_order() or entry.state is not ServerState.READY:
            return
        now = self._clock()
        if now >= self._recheck_at:
            self._sequence.doubt()
        if not self._sequence.is_known and not await self._read():
            return
        if self._sequence.is_paused():
            return
        if await self._base_models.load_if_none():
            return
        wants = self._demand.wants(now)
        ordered = by_slack({key: want.slack for key, want in wants.items()})
        changed = False
        for key in ordered:
            if not self._may_order() or not self._sequence.is_known:
                break
            changed |= await self._serve_want(key, wants[key].is_missing, set(wants))
        if changed:
            self._status.publish()

    async def _serve_want(
        self, key: AdapterCopyKey, is_missing: bool, wanted: set[AdapterCopyKey]
    ) -> bool:
        """Load a wanted copy if that is possible now; return whether it was ordered."""
        now = self._clock()
        is_loading_full = self._slots.loading(now) >= MAX_CONCURRENT_LOADS
        copy = self._slots.copies.get(key)
        if copy is not None:
            if is_missing and copy.state is CopyState.READY:
                self._note_missing(key, copy)
            return False
        if key.model not in self._base_models.held:
            return False
        if is_loading_full:
            return False
        older = self._slots.other_version(key)
        in_use = self._demand.in_use()
        if older is not None:
            if in_use.get(older):
                return False
        elif self._slots.free <= 0 and not await self._make_room(in_use, wanted):
            return False
        return await self._load(key)

    async def _make_room(
        self, in_use: dict[AdapterCopyKey, int], wanted: set[AdapterCopyKey]
    ) -> bool:
        newest = {key: item.version for key, item in self._view.versions.items()}
        victim = self._slots.victim(in_use, wanted, newest, self._clock())
        if victim is None:
            return False
        outcome = await self._sequence.send(OrderAction.UNLOAD, victim)
        if outcome is OrderOutcome.DONE:
            self._slots.remove(victim)
            return True
        if outcome is OrderOutcome.ACCEPTED:
            # A request that this host hasn't heard of still runs on it.
            self._slots.begin_unload(victim)
            self._recheck_at = self._clock() + _RECHECK_SECONDS
        return False

    async def _load(self, key: AdapterCopyKey) -> bool:
        seconds = self._load_time.expected_seconds(key, self._fetching())
        outcome = await self._sequence.send(OrderAction.LOAD, key)
        if outcome not in (OrderOutcome.DONE, OrderOutcome.ACCEPTED):
            return False
        now = self._clock()
        ready_at = now if outcome is OrderOutcome.DONE else now + seconds
        self._slots.begin_load(key, ready_at, now)
        if not self._load_time.is_warm(key) and outcome is OrderOutcome.ACCEPTED:
            self._unproved.add(key)
        self._load_time.note_held(key)
        return True

    def _note_missing(self, key: AdapterCopyKey, copy: HeldCopy) -> None:
        """Expect a load to take longer, or read what the engine holds."""
        now = self._clock()
        if key in self._unproved:
            self._unproved.discard(key)
            self._load_time.note_late()
        if now - copy.ready_at < _LATE_SECONDS:
            copy.state = CopyState.LOADING
            copy.ready_at = now + _LATER_SECONDS
        else:
            self._recheck_at = min(self._recheck_at, now)

    async def _read(self) -> bool:
        """Take the engine's report over; return whether it could be used."""
        now = self._clock()
        wait = max(
            self._sequence.last_at + _REPORT_LAG_SECONDS - now,
            self._read_at + _REPORT_PACE_SECONDS - now,
        )
        if wait > 0 and self._sequence.last_at:
            await asyncio.sleep(wait)
        self._read_at = self._clock()
        try:
            report = await self._orders.report(self._record.entry)
        except ServerError as error:
            logger.info("no report: %s", error, extra={"server": self._record.id})
            return False
        self._recheck_at = math.inf
        self._adopt(report)
        return self._sequence.is_known

    def _adopt(self, report: EngineReport) -> None:
        if report.started_at != self._started_at:
            self._load_time.note_restart()
        self._started_at = report.started_at
        self._base_models.take_report(report)
        self._slots.reset(
            list(report.held.adapters), list(report.loading), self._clock()
        )
        self._sequence.adopt(report.order_count, is_known=not report.is_busy)
        if self._sequence.is_known:
            self._status.publish()
