"""Publish the adapter copies and the load of one engine to all hosts."""

import asyncio
import math
from collections.abc import Callable, Collection
from typing import Final

from gooseberrydeal._internal.models.ids import FencingNumber, HostId, ServerId
from gooseberrydeal._internal.models.routing.engine_status import (
    CopyStatus,
    EngineStatus,
)
from gooseberrydeal._internal.operations.router.engine_demand import EngineDemand
from gooseberrydeal._internal.operations.router.speeds.speed_log import SpeedLog
from gooseberrydeal._internal.operations.router.status_sender import StatusSender
from gooseberrydeal._internal.policy.adapter_slots import AdapterSlots
from gooseberrydeal._internal.policy.exchange_periods import ExchangePeriods
from gooseberrydeal._internal.policy.load_change import has_slowdown_changed
from gooseberrydeal._internal.policy.speeds.server_speed import ServerSpeed

# If the tokens of prompts that wait for prefill have changed by more than this, about
# 40 ms of prefill, a status is published after a delay that collects further changes.
_PUBLISH_THRESHOLD_TOKENS: Final = 800
# The summary of warm copies takes about as many bytes as the rest of a status, and
# changes by a few loads in this time.
_WARM_COPIES_INTERVAL_SECONDS: Final = 1.0


class StatusPublisher:
    """Publish numbered statuses of one engine, on request or when its load changes.

    None is published until ``is_known`` says that the engine's copies are known: hosts
    would take copies that a status does not list for not held.
    """

    def __init__(
        self,
        owner: HostId,
        server: ServerId,
        fencing: FencingNumber,
        demand: EngineDemand,
        slots: AdapterSlots,
        is_known: Callable[[], bool],
        may_load: Callable[[], bool],
        base_models: Callable[[], Collection[str]],
        warm_copies: Callable[[], bytes],
        speed: ServerSpeed,
        periods: Callable[[], ExchangePeriods],
        publish: StatusSender,
        clock: Callable[[], float],
    ) -> None:
        self._owner = owner
        self._server = server
        self._fencing = fencing
        self._demand = demand
        self._slots = slots
        self._is_known = is_known
        self._may_load = may_load
        self._base_models = base_models
        self._warm_copies = warm_copies
        self._speed = speed
        self._speed_log = SpeedLog(server)
        self._periods = periods
        self._publish = publish
        self._clock = clock
        self._sequence = 0
        self._pending_prefill_tokens = 0
        self._slowdown = 1.0
        self._warm_copies_at = -math.inf
        self._timer: asyncio.TimerHandle | None = None

    def publish_if_load_changed(self) -> None:
        """Schedule a status if the pending prefill or the slowdown has changed."""
        if self._timer is not None:
            return
        change = abs(
            self._demand.pending_prefill_tokens() - self._pending_prefill_tokens
        )
        periods = self._periods()
        if change > _PUBLISH_THRESHOLD_TOKENS or has_slowdown_changed(
            self._slowdown,
            self._demand.slowdown(self._clock()),
            reports_all=periods.reports_all,
        ):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(periods.collect, self.publish)

    def publish(self) -> None:
        """Publish a status now instead of the scheduled one."""
        self.cancel()
        if self._is_known():
            now = self._clock()
            is_due = now - self._warm_copies_at >= _WARM_COPIES_INTERVAL_SECONDS
            if is_due:
                self._warm_copies_at = now
            status = self._next_status(with_warm_copies=is_due)
            self._publish(status, self._demand.hosts)

    def publish_to(self, host: HostId) -> None:
        """Publish a status now to one host, which has not had one recently."""
        if self._is_known():
            self._publish(self._next_status(with_warm_copies=True), (host,))

    def _next_status(self, *, with_warm_copies: bool) -> EngineStatus:
        now = self._clock()
        self._pending_prefill_tokens = self._demand.pending_prefill_tokens()
        self._slowdown = self._demand.slowdown(now)
        self._sequence += 1
        self._slots.loading(now)
        copies = tuple(
            CopyStatus(key, copy.state, max(0.0, copy.ready_at - now))
            for key, copy in self._slots.copies.items()
        )
        requested = set(self._demand.load_requests(now))
        # Where owners tell all hosts, these know what an engine held before.
        lists_warm = with_warm_copies and not self._periods().reports_all
        speed = self._speed.observed(now)
        self._speed_log.note(speed, now)
        return EngineStatus(
            self._owner,
            self._server,
            self._fencing,
            self._sequence,
            self._may_load(),
            self._slots.spare_slots(self._demand.in_use(), requested),
            self._demand.requests(),
            self._demand.tokens(),
            self._pending_prefill_tokens,
            self._slowdown,
            tuple(sorted(self._base_models())),
            copies,
            speed,
            warm_copies=self._warm_copies() if lists_warm else b"",
        )

    def cancel(self) -> None:
        """Cancel the scheduled status, if any."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
