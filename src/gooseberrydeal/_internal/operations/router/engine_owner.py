"""Give one engine its orders."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import ServerError
from gooseberrydeal._internal.models.ids import FencingNumber, HostId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.adapter_order import (
    AdapterOrder,
    OrderAction,
    OrderOutcome,
)
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.models.routing.engine_status import (
    CopyStatus,
    EngineStatus,
)
from gooseberrydeal._internal.models.routing.server_entry import (
    ServerEntry,
    ServerState,
)
from gooseberrydeal._internal.models.routing.usage_report import EngineUsage
from gooseberrydeal._internal.network.interfaces.engine_orders import EngineOrders
from gooseberrydeal._internal.operations.router.engine_demand import EngineDemand
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.policy.adapter_slots import MOST_LOADING, AdapterSlots
from gooseberrydeal._internal.policy.load_time import LoadTime
from gooseberrydeal._internal.policy.want_order import by_slack

logger = logging.getLogger(__name__)

# A report is some hundred milliseconds old; after an order it is read no sooner.
_REPORT_LAG_SECONDS: Final = 0.3
# Reports are priced: one is read no more often than this.
_REPORT_PACE_SECONDS: Final = 0.5
_HEARTBEAT_SECONDS: Final = 0.4
# An order without an answer is sent again with the same count of orders before it, so
# that no more than one of them is carried out.
_MOST_SENDS: Final = 3
# Orders that the engine rejected are not repeated sooner.
_REJECTED_PAUSE_SECONDS: Final = 0.25
# An entry of the store is compared with the own view only if no order was given for
# this long, since entries are a heartbeat old.
_QUIET_SECONDS: Final = 2.5
# Hosts learn of a queue of prompts that changed by more than this, about 40 ms of
# reading, after a pause in which further changes are collected.
_DRIFT_TOKENS: Final = 800
_COLLECT_SECONDS: Final = 0.03


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
        self._host = host
        self._fencing = fencing
        self._may_order = may_order
        self._fetching = fetching
        self._publish = publish
        self._load_time = load_time
        self._clock = clock
        self._slots = AdapterSlots(engine.adapter_slots if engine else 0)
        self._demand = EngineDemand()
        self._wake = asyncio.Event()
        self._sequence = 0
        self._is_known = False
        self._started_at = record.entry.started_at
        self._order_count = 0
        self._base_models: set[str] = set()
        self._model_loading_until = 0.0
        self._ordered_at = 0.0
        self._read_at = 0.0
        self._paused_until = 0.0
        self._unproved: set[AdapterCopyKey] = set()
        self._published_unread = 0
        self._published_pace = 1.0
        self._announcing: asyncio.TimerHandle | None = None

    @property
    def fencing(self) -> FencingNumber:
        """Return the number that orders this owner among others."""
        return self._fencing

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
                self._load_time.note_ready()
        if usage.wants:
            self._wake.set()
        drift = abs(self._demand.unread_tokens() - self._published_unread)
        has_new_pace = self._demand.pace(now) != self._published_pace
        if (drift > _DRIFT_TOKENS or has_new_pace) and self._announcing is None:
            loop = asyncio.get_running_loop()
            self._announcing = loop.call_later(_COLLECT_SECONDS, self._announce)

    def entry_changed(self, entry: ServerEntry) -> None:
        """Compare the engine's own entry with what is believed."""
        if entry.started_at != self._started_at:
            logger.info("engine has started again", extra={"server": entry.id})
            self._started_at = entry.started_at
            self._is_known = False
            self._order_count = 0
            self._slots.reset([], [], self._clock())
            self._load_time.note_restart()
            self._wake.set()
            return
        is_quiet = self._clock() - self._ordered_at > _QUIET_SECONDS
        if entry.held is not None and is_quiet and self._is_known:
            if entry.order_count != self._order_count:
                self._is_known = False
                self._wake.set()
            elif set(entry.held.adapters) != set(self._slots.copies):
                logger.info("engine's copies are not as believed")
                self._slots.reset(list(entry.held.adapters), [], self._clock())

    async def run(self) -> None:
        """Give orders until cancelled."""
        published = 0.0
        while True:
            self._wake.clear()
            await self._step()
            now = self._clock()
            if now - published >= _HEARTBEAT_SECONDS:
                self._announce()
                published = now
            try:
                async with asyncio.timeout(_HEARTBEAT_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                self._demand.drop_silent(self._clock())

    async def _step(self) -> None:
        entry = self._record.entry
        if not self._may_order() or entry.state is not ServerState.READY:
            return
        now = self._clock()
        if not self._is_known and not await self._read():
            return
        if now < self._paused_until:
            return
        if await self._load_base_model():
            return
        wants = self._demand.wants(now)
        ordered = by_slack({key: want.slack for key, want in wants.items()})
        changed = False
        for key in ordered:
            if not self._may_order() or not self._is_known:
                break
            changed |= await self._serve_want(key, wants[key].is_missing, set(wants))
        if changed:
            self._announce()

    async def _serve_want(
        self, key: AdapterCopyKey, is_missing: bool, wanted: set[AdapterCopyKey]
    ) -> bool:
        """Load a wanted copy if that is possible now; return whether it was ordered."""
        now = self._clock()
        is_loading_full = self._slots.loading(now) >= MOST_LOADING
        copy = self._slots.copies.get(key)
        if copy is not None:
            if is_missing and copy.state is CopyState.READY:
                await self._check_missing(key)
            return False
        if key.model not in self._base_models:
            return False
        if is_loading_full:
            return False
        older = self._slots.older_version(key)
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
        outcome = await self._order(OrderAction.UNLOAD, victim)
        if outcome is OrderOutcome.DONE:
            self._slots.remove(victim)
            return True
        if outcome is OrderOutcome.ACCEPTED:
            # A request that this host hasn't heard of still runs on it.
            self._slots.begin_unload(victim)
            self._is_known = False
            self._announce()
        return False

    async def _load(self, key: AdapterCopyKey) -> bool:
        seconds = self._load_time.expect(key, self._fetching())
        outcome = await self._order(OrderAction.LOAD, key)
        if outcome not in (OrderOutcome.DONE, OrderOutcome.ACCEPTED):
            return False
        now = self._clock()
        ready_at = now if outcome is OrderOutcome.DONE else now + seconds
        self._slots.begin_load(key, ready_at, now)
        if not self._load_time.is_warm(key) and outcome is OrderOutcome.ACCEPTED:
            self._unproved.add(key)
        self._load_time.note_held(key)
        return True

    async def _order(self, action: OrderAction, key: AdapterCopyKey) -> OrderOutcome:
        order = AdapterOrder(
            action,
            key.model,
            key.adapter,
            key.version if key.version != 1 and action is OrderAction.LOAD else 0,
            self._order_count,
            self._host,
            self._fencing,
        )
        outcome = OrderOutcome.UNKNOWN
        for _ in range(_MOST_SENDS):
            if outcome is not OrderOutcome.UNKNOWN or not self._may_order():
                break
            outcome = await self._orders.order(self._record.entry, order)
        self._ordered_at = self._clock()
        if outcome in (OrderOutcome.DONE, OrderOutcome.ACCEPTED):
            self._order_count += 1
        elif outcome is OrderOutcome.NOT_SENT:
            self._paused_until = self._ordered_at + _REJECTED_PAUSE_SECONDS
        else:
            self._is_known = False
            self._paused_until = self._ordered_at + _REJECTED_PAUSE_SECONDS
        return outcome

    async def _load_base_model(self) -> bool:
        """Load a model at an engine that holds none; return whether to wait for it."""
        engine = self._record.service.engine
        if self._base_models or engine is None or not engine.models:
            return False
        now = self._clock()
        if now < self._model_loading_until:
            return True
        model = min(engine.models.values(), key=lambda item: item.megabytes)
        key = AdapterCopyKey(model.name, "", 0)
        outcome = await self._order(OrderAction.LOAD, key)
        logger.info(
            "base model ordered: %s", outcome.value, extra={"server": self._record.id}
        )
        if outcome in (OrderOutcome.DONE, OrderOutcome.ACCEPTED):
            self._model_loading_until = now + model.load_seconds
            self._is_known = False
        return True

    async def _check_missing(self, key: AdapterCopyKey) -> None:
        """Read the engine's report, since it denies having a copy."""
        if key in self._unproved:
            self._unproved.discard(key)
            self._load_time.note_early()
        if self._clock() - self._read_at >= _REPORT_PACE_SECONDS:
            await self._read()

    async def _read(self) -> bool:
        """Take the engine's report over; return whether it could be used."""
        now = self._clock()
        wait = max(
            self._ordered_at + _REPORT_LAG_SECONDS - now,
            self._read_at + _REPORT_PACE_SECONDS - now,
        )
        if wait > 0 and self._ordered_at:
            await asyncio.sleep(wait)
        self._read_at = self._clock()
        try:
            report = await self._orders.report(self._record.entry)
        except ServerError as error:
            logger.info("no report: %s", error, extra={"server": self._record.id})
            return False
        self._adopt(report)
        return self._is_known

    def _adopt(self, report: EngineReport) -> None:
        if report.started_at != self._started_at:
            self._load_time.note_restart()
        self._started_at = report.started_at
        self._order_count = report.order_count
        self._base_models = {name for name, _ in report.held.base_models}
        self._slots.reset(
            list(report.held.adapters), list(report.loading), self._clock()
        )
        self._is_known = not report.is_busy
        if self._is_known:
            self._announce()

    def _announce(self) -> None:
        now = self._clock()
        if self._announcing is not None:
            self._announcing.cancel()
            self._announcing = None
        self._published_unread = self._demand.unread_tokens()
        self._published_pace = self._demand.pace(now)
        self._sequence += 1
        self._slots.loading(now)
        copies = tuple(
            CopyStatus(key, copy.state, max(0.0, copy.ready_at - now))
            for key, copy in self._slots.copies.items()
        )
        self._publish(
            EngineStatus(
                self._host,
                self._record.id,
                self._fencing,
                self._sequence,
                self._may_order() and self._is_known,
                self._slots.spare(self._demand.in_use(), set(self._demand.wants(now))),
                self._demand.requests(),
                self._demand.tokens(),
                self._published_unread,
                self._published_pace,
                tuple(sorted(self._base_models)),
                copies,
            )
        )
