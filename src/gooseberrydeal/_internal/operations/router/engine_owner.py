"""Send adapter load and unload orders to one engine."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ids import FencingNumber, HostId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.adapter_order import (
    OrderAction,
    OrderOutcome,
)
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.models.routing.usage_report import EngineUsage
from gooseberrydeal._internal.network.interfaces.engine_orders import EngineOrders
from gooseberrydeal._internal.operations.router.base_models import BaseModels
from gooseberrydeal._internal.operations.router.engine_demand import EngineDemand
from gooseberrydeal._internal.operations.router.entry_check import EntryCheck
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.order_sequence import OrderSequence
from gooseberrydeal._internal.operations.router.report_reader import (
    REPORT_LAG_SECONDS,
    ReportReader,
)
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.status_publisher import StatusPublisher
from gooseberrydeal._internal.operations.router.status_sender import StatusSender
from gooseberrydeal._internal.policy.adapter_slots import (
    MAX_CONCURRENT_LOADS,
    AdapterSlots,
    HeldCopy,
)
from gooseberrydeal._internal.policy.load_time import LoadTime
from gooseberrydeal._internal.policy.want_order import by_slack

logger = logging.getLogger(__name__)

# If the engine denies having a copy that should be ready, the load is assumed to take
# longer than expected, up to this time after the copy was due; then the engine's report
# is read.
_MAX_LOAD_OVERRUN_SECONDS: Final = 0.5
# Each denial within that time moves the expected end of the load this far ahead.
_LOAD_EXTENSION_SECONDS: Final = 0.04
# Time after which the engine's report is read if an unload waits for running requests.
_UNLOAD_RECHECK_SECONDS: Final = 1.5


class EngineOwner:
    """Load the adapters that waiting requests need and unload the least used ones.

    Before its first order is allowed it reads what the engine holds and publishes that.
    It publishes nothing before, since hosts take what a status does not list for
    not held.

    Each order carries the number of orders before it, so that an order that was
    abandoned cannot be carried out after a newer one.
    """

    def __init__(
        self,
        record: ServerRecord,
        orders: EngineOrders,
        view: MetadataView,
        host: HostId,
        fencing: FencingNumber,
        may_order: Callable[[], bool],
        count_loads: Callable[[], int],
        publish: StatusSender,
        load_time: LoadTime,
        clock: Callable[[], float],
    ) -> None:
        self._record = record
        self._view = view
        self._may_order = may_order
        self._sequence = OrderSequence(record, orders, host, fencing, may_order, clock)
        self._reader = ReportReader(record, orders, self._sequence, clock)
        self._base_models = BaseModels(record, self._sequence, clock)
        self._count_loads = count_loads
        self._load_time = load_time
        self._clock = clock
        self._slots = AdapterSlots(self._configured_slots)
        self._entry_check = EntryCheck(self._sequence, self._slots, clock)
        self._demand = EngineDemand()
        self._wake = asyncio.Event()
        self._started_at = record.entry.started_at
        self._status = StatusPublisher(
            host,
            record.id,
            fencing,
            self._demand,
            self._slots,
            lambda: self._reader.has_read,
            lambda: (
                may_order() and self._sequence.is_count_known and record.is_reachable
            ),
            lambda: self._base_models.held,
            self._load_time.encode_warm_copies,
            record.speed,
            lambda: view.periods,
            publish,
            clock,
        )

    @property
    def sequence(self) -> OrderSequence:
        """Return the engine's orders."""
        return self._sequence

    @property
    def _configured_slots(self) -> int:
        engine = self._record.service.engine
        return engine.adapter_slots if engine is not None else 0

    def apply_usage(self, host: HostId, usage: EngineUsage) -> None:
        """Apply a host's usage report, and wake the run loop if it requests a load."""
        now = self._clock()
        is_new = host not in self._demand.hosts
        for key, started in self._demand.apply(host, usage, now):
            copy = self._slots.copies.get(key)
            if copy is None:
                continue
            copy.note_use(started, now)
            self._load_time.note_used(key)
        if usage.load_requests:
            self._wake.set()
        if is_new and not self._view.periods.reports_all:
            self._status.publish_to(host)
        self._status.publish_if_load_changed()

    def reconcile_entry(self, entry: ServerEntry) -> None:
        """Read the engine's report soon if its entry in the store shows another state.

        An entry never frees a slot for an order: after a restart, none is sent until
        the report has been read.
        """
        if entry.started_at > self._started_at:
            logger.info("engine restarted; copies cleared", extra={"server": entry.id})
            self._started_at = entry.started_at
            self._sequence.set_count(0, is_count_known=False)
            self._slots.reset([], [], self._clock())
            self._load_time.note_restart()
            self._reader.schedule(self._clock())
            self._wake.set()
        elif self._entry_check.differs(entry, self._started_at):
            # An earlier report could be older than the entry.
            self._reader.schedule(self._clock() + REPORT_LAG_SECONDS)
            loop = asyncio.get_running_loop()
            loop.call_later(REPORT_LAG_SECONDS, self._wake.set)

    async def run(self) -> None:
        """Send orders and publish the status until cancelled."""
        # A run that has failed may have sent an order whose outcome is not known.
        self._sequence.invalidate_count()
        self._reader.schedule(self._clock())
        try:
            await self._run()
        finally:
            self._status.cancel()

    async def _run(self) -> None:
        published_at = 0.0
        while True:
            self._wake.clear()
            await self._step()
            now = self._clock()
            if now - published_at >= self._view.periods.heartbeat:
                self._status.publish()
                published_at = now
            try:
                async with asyncio.timeout(self._view.periods.heartbeat):
                    await self._wake.wait()
            except TimeoutError:
                limit = self._view.periods.host_timeout
                self._demand.drop_stale_hosts(self._clock(), limit)

    async def _step(self) -> None:
        if not self._record.accepts_requests:
            return
        now = self._clock()
        self._slots.resize(self._configured_slots)
        if self._reader.is_due:
            self._sequence.invalidate_count()
        if not self._may_order():
            await self._observe(now)
            return
        if not self._sequence.is_count_known and not await self._read_report():
            return
        if self._sequence.is_paused():
            return
        if await self._base_models.load_if_none():
            return
        load_requests = self._demand.load_requests(now)
        changed = False
        for key in by_slack({key: item.slack for key, item in load_requests.items()}):
            if not self._may_order() or not self._sequence.is_count_known:
                break
            changed |= await self._load_if_possible(
                key, load_requests[key].is_missing, set(load_requests)
            )
        if changed:
            self._status.publish()

    async def _observe(self, now: float) -> None:
        """Keep track of what the engine holds while no order may be sent."""
        for key, item in self._demand.load_requests(now).items():
            copy = self._slots.copies.get(key)
            if item.is_missing and copy is not None and copy.state is CopyState.READY:
                self._handle_missing(key, copy)
        if self._reader.is_due:
            await self._read_report()

    async def _load_if_possible(
        self, key: AdapterCopyKey, is_missing: bool, requested: set[AdapterCopyKey]
    ) -> bool:
        """Order the load of a requested copy if possible; return whether it did."""
        now = self._clock()
        is_loading_full = self._slots.loading(now) >= MAX_CONCURRENT_LOADS
        copy = self._slots.copies.get(key)
        if copy is not None:
            if is_missing and copy.state is CopyState.READY:
                self._handle_missing(key, copy)
            return False
        if is_loading_full or key.model not in self._base_models.held:
            return False
        older = self._slots.other_version(key)
        in_use = self._demand.in_use()
        if older is not None:
            if in_use.get(older):
                return False
        elif self._slots.free <= 0 and not await self._free_slot(in_use, requested):
            return False
        return await self._load(key)

    async def _free_slot(
        self, in_use: dict[AdapterCopyKey, int], requested: set[AdapterCopyKey]
    ) -> bool:
        """Unload the least used idle copy; return whether its slot is free now."""
        newest = {key: item.newest for key, item in self._view.versions.items()}
        victim = self._slots.victim(in_use, requested, newest, self._clock())
        if victim is None:
            return False
        outcome = await self._sequence.send(OrderAction.UNLOAD, victim)
        if outcome is OrderOutcome.DONE:
            self._slots.remove(victim)
            return self._slots.free > 0
        if outcome is OrderOutcome.ACCEPTED:
            # A request that was not yet reported to this host still runs on it.
            self._slots.begin_unload(victim)
            self._reader.schedule(self._clock() + _UNLOAD_RECHECK_SECONDS)
        return False

    async def _load(self, key: AdapterCopyKey) -> bool:
        fetching = self._count_loads()
        seconds = self._load_time.expected_seconds(key, fetching)
        outcome = await self._sequence.send(OrderAction.LOAD, key)
        if outcome not in (OrderOutcome.DONE, OrderOutcome.ACCEPTED):
            return False
        now = self._clock()
        ready_at = now if outcome is OrderOutcome.DONE else now + seconds
        self._slots.begin_load(key, ready_at, now)
        if outcome is OrderOutcome.ACCEPTED:
            self._load_time.begin(key, fetching)
        else:
            self._load_time.note_held(key)
        return True

    def _handle_missing(self, key: AdapterCopyKey, copy: HeldCopy) -> None:
        """Extend the expected load time, or request a read of the engine's report."""
        now = self._clock()
        self._load_time.note_missing(key)
        if now - copy.ready_at < _MAX_LOAD_OVERRUN_SECONDS:
            copy.state = CopyState.LOADING
            copy.ready_at = now + _LOAD_EXTENSION_SECONDS
        else:
            self._reader.schedule(now)

    async def _read_report(self) -> bool:
        """Read and apply the engine's report; return whether orders may be sent."""
        # Another host may send orders until this one may.
        is_count_final = self._may_order()
        report = await self._reader.read()
        if report is None:
            return False
        self._apply_report(report, is_count_final=is_count_final)
        return self._sequence.is_count_known

    def _apply_report(self, report: EngineReport, *, is_count_final: bool) -> None:
        if report.started_at != self._started_at:
            self._load_time.note_restart()
        self._started_at = report.started_at
        self._base_models.apply_report(report)
        held, loading = list(report.held.adapters), list(report.loading)
        self._slots.reset(held, loading, self._clock())
        is_known = is_count_final and not report.is_busy
        self._sequence.set_count(report.order_count, is_count_known=is_known)
        self._status.publish()
