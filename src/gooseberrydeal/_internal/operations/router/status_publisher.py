"""Tell all hosts what an engine holds, and how busy it is."""

import asyncio
from collections.abc import Callable, Collection
from typing import Final

from gooseberrydeal._internal.models.ids import FencingNumber, HostId, ServerId
from gooseberrydeal._internal.models.routing.engine_status import (
    CopyStatus,
    EngineStatus,
)
from gooseberrydeal._internal.operations.router.engine_demand import EngineDemand
from gooseberrydeal._internal.policy.adapter_slots import AdapterSlots

# Hosts learn of a queue of prompts that changed by more than this, about 40 ms of
# reading, after a pause in which further changes are collected.
_DRIFT_TOKENS: Final = 800


class StatusPublisher:
    """Number the statuses of one engine, and send one when its load has changed."""

    def __init__(
        self,
        owner: HostId,
        server: ServerId,
        fencing: FencingNumber,
        demand: EngineDemand,
        slots: AdapterSlots,
        can_load: Callable[[], bool],
        base_models: Callable[[], Collection[str]],
        collect_seconds: Callable[[], float],
        publish: Callable[[EngineStatus], None],
        clock: Callable[[], float],
    ) -> None:
        self._owner = owner
        self._server = server
        self._fencing = fencing
        self._demand = demand
        self._slots = slots
        self._can_load = can_load
        self._base_models = base_models
        self._collect_seconds = collect_seconds
        self._publish = publish
        self._clock = clock
        self._number = 0
        self._unread_tokens = 0
        self._pace = 1.0
        self._timer: asyncio.TimerHandle | None = None

    def load_changed(self) -> None:
        """Publish soon if the queue of prompts or the pace has changed."""
        if self._timer is not None:
            return
        drift = abs(self._demand.unread_tokens() - self._unread_tokens)
        if drift > _DRIFT_TOKENS or self._demand.pace(self._clock()) != self._pace:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._collect_seconds(), self.publish)

    def publish(self) -> None:
        """Publish now."""
        self.cancel()
        now = self._clock()
        self._unread_tokens = self._demand.unread_tokens()
        self._pace = self._demand.pace(now)
        self._number += 1
        self._slots.loading(now)
        copies = tuple(
            CopyStatus(key, copy.state, max(0.0, copy.ready_at - now))
            for key, copy in self._slots.copies.items()
        )
        wanted = set(self._demand.wants(now))
        self._publish(
            EngineStatus(
                self._owner,
                self._server,
                self._fencing,
                self._number,
                self._can_load(),
                self._slots.spare_slots(self._demand.in_use(), wanted),
                self._demand.requests(),
                self._demand.tokens(),
                self._unread_tokens,
                self._pace,
                tuple(sorted(self._base_models())),
                copies,
            )
        )

    def cancel(self) -> None:
        """Forget a publication that was due soon."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
