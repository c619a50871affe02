"""Load adapters on one engine and evict others to free slots."""

import contextlib
import logging
import math
import random
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import ServerError, ServerRefusedError
from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.copy_state import CopyState
from gooseberrydeal._internal.models.ids import FencingNumber
from gooseberrydeal._internal.models.permit import Permit
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.network.interfaces.engine import Engine
from gooseberrydeal._internal.network.interfaces.weight_store import WeightStore
from gooseberrydeal._internal.operations.keeper.engine_slots import EngineSlots
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.keeper.load_permit_queue import LoadPermitQueue
from gooseberrydeal._internal.operations.keeper.load_request import LoadRequest
from gooseberrydeal._internal.policy.load_failures import LoadFailures
from gooseberrydeal._internal.policy.slot_table import SlotCopy
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

_STALE_FENCING_NUMBER_STATUS: Final = 412
_NOT_FOUND_STATUS: Final = 404
# Adjustments of a load's urgency, in seconds of its deadline; see ``request_load``.
_SECONDS_PER_IMPORTANCE: Final = 0.25
_REPLICA_PENALTY_SECONDS: Final = 5.0
_SECONDS_PER_QUEUE_DOUBLING: Final = 2.0
# Reading the engine's state is repeated if the slots changed during the call.
_MAX_RESYNC_ATTEMPTS: Final = 5

FailureCallback = Callable[[AdapterRef, Refusal], None]


class AdapterLoader:
    """Start a load when a permit and a slot are available.

    At most one load per adapter is in progress at a time.
    """

    def __init__(
        self,
        server: str,
        epoch: FencingNumber,
        engine: Engine,
        slots: EngineSlots,
        permit_queue: LoadPermitQueue,
        weights: WeightStore,
        context: KeeperContext,
    ) -> None:
        self._server = server
        self._epoch = epoch
        self._engine = engine
        self._slots = slots
        self._permit_queue = permit_queue
        self._weights = weights
        self._context = context
        self._failures = LoadFailures()
        self._on_ready: Callable[[], None] = lambda: None
        self._on_failure: FailureCallback = lambda adapter, refusal: None
        self._on_fenced: Callable[[], None] = lambda: None
        self._tasks = TaskOwner()

    def set_callbacks(
        self,
        on_ready: Callable[[], None],
        on_failure: FailureCallback,
        on_fenced: Callable[[], None],
    ) -> None:
        """Set the callbacks.

        ``on_ready`` is called after every load, failed or not. ``on_failure`` is called
        with the refusal for the requests that wait for the adapter. ``on_fenced`` is
        called if the engine reports that the server has a newer owner.
        """
        self._on_ready = on_ready
        self._on_failure = on_failure
        self._on_fenced = on_fenced

    async def stop(self) -> None:
        """Cancel all loads in progress."""
        await self._tasks.stop()

    def request_load(self, item: WorkItem) -> None:
        """Request a load of an item's adapter, unless one is in progress.

        The request with the lowest urgency value is served first. The value is the
        item's deadline, lowered for important work and for each doubling of the number
        of requests that wait for the adapter, and raised if another server already
        has the adapter.
        """
        adapter = item.adapter
        if adapter is None or self._slots.is_loading(adapter):
            return
        queued = self._slots.reserved(adapter)
        urgency = item.deadline - item.importance * _SECONDS_PER_IMPORTANCE
        urgency -= _SECONDS_PER_QUEUE_DOUBLING * math.log2(max(1, queued))
        if not self._context.is_plain and self._replicas_elsewhere(adapter) > 0:
            urgency += _REPLICA_PENALTY_SECONDS
        self._permit_queue.request_load(
            LoadRequest(self._server, adapter, urgency, self.has_slot, self._start_load)
        )

    def pending_loads(self) -> list[AdapterRef]:
        """Return the adapters whose loads are waiting for a permit or a slot."""
        return self._permit_queue.pending_loads(self._server)

    def withdraw(self, adapter: AdapterRef) -> None:
        """Withdraw the request for a load that has not started."""
        self._permit_queue.withdraw(self._server, adapter)

    def has_slot(self) -> bool:
        """Return whether a slot is free or can be freed by an eviction."""
        return (
            self._slots.free > 0
            or self._slots.victim(self._demand_per_copy) is not None
        )

    def start_waiting_loads(self) -> None:
        """Start waiting loads, since a slot may have become available."""
        if self._permit_queue.waiting:
            self._permit_queue.start_loads()

    def refusal(self, adapter: AdapterRef) -> Refusal | None:
        """Return the refusal for an adapter in load backoff, or ``None``."""
        pause = self._failures.remaining_backoff(adapter, self._now())
        if pause <= 0:
            return None
        return Refusal(
            RefusalReason.LOAD_FAILED, Ran.NO, "the adapter failed to load", pause
        )

    def expected_wait(self, adapter: AdapterRef) -> float:
        """Return the estimated seconds until the adapter is loaded."""
        seconds = self._context.configuration().limits.load_seconds
        if self._slots.is_loading(adapter):
            return seconds / 2
        return self._permit_queue.expected_wait() + seconds

    def victim_demand(self) -> float | None:
        """Return the demand for the copy that the next load would evict.

        Returns 0 if a slot is free, and ``None`` if no copy may be evicted.
        """
        return self._slots.victim_value(self._demand_per_copy)

    def _demand_per_copy(self, adapter: AdapterRef) -> float:
        """Return the adapter's expected request rate per copy in the fleet.

        In plain mode all copies are equal, so that the least recently used one is
        evicted.
        """
        if self._context.is_plain:
            return 0.0
        demand = self._context.demand.expected_rate(str(adapter), self._now())
        return demand / (1 + self._replicas_elsewhere(adapter))

    def _replicas_elsewhere(self, adapter: AdapterRef) -> int:
        holders = self._context.view.holders(adapter.name, adapter.version)
        return len(holders) - (self._server in holders)

    def _start_load(self, adapter: AdapterRef, permit: Permit) -> None:
        victim = None
        if self._slots.free == 0:
            victim = self._slots.victim(self._demand_per_copy)
            if victim is not None:
                self._slots.set_state(victim.name, CopyState.UNLOADING, self._now())
        copy = adapter.copy_name(self._epoch)
        self._slots.add(copy, adapter, CopyState.LOADING)
        self._context.report_changed()
        self._tasks.start(
            self._load(adapter, copy, permit, victim), f"load {copy} on {self._server}"
        )

    async def _load(
        self, adapter: AdapterRef, copy: str, permit: Permit, victim: SlotCopy | None
    ) -> None:
        started = self._now()
        try:
            if victim is not None:
                await self._evict(victim)
            await self._engine.load(copy, self._weights_path(adapter), self._epoch)
        except ServerError as error:
            await self._handle_failure(adapter, copy, error, started)
        else:
            self._slots.set_state(copy, CopyState.READY, self._now())
            self._failures.note_success(adapter)
            self._context.metrics.observe_load("loaded", self._now() - started)
            self._context.journal.note(
                f"loaded on {self._server} in {self._now() - started:.3f} s",
                str(adapter),
                adapter.name,
            )
        finally:
            self._permit_queue.pool.finish(permit)
            self._context.report_changed()
            self._permit_queue.start_loads()
            self._on_ready()

    async def _evict(self, victim: SlotCopy) -> None:
        with contextlib.suppress(KeyError):
            try:
                await self._engine.unload(victim.name, self._epoch)
            except ServerRefusedError as error:
                # 404 means that the engine no longer holds the copy.
                if error.status != _NOT_FOUND_STATUS:
                    self._slots.set_state(victim.name, CopyState.READY, self._now())
                    raise
            except ServerError:
                self._slots.set_state(victim.name, CopyState.READY, self._now())
                raise
        self._slots.remove(victim.name)
        if victim.adapter is not None:
            self._context.journal.note(
                f"evicted from {self._server}", str(victim.adapter), victim.adapter.name
            )

    async def _handle_failure(
        self, adapter: AdapterRef, copy: str, error: ServerError, started: float
    ) -> None:
        self._slots.remove(copy)
        with contextlib.suppress(ServerError):
            await self._resync()
        # The engine may have completed the load although its response was lost.
        if self._slots.ready_copy(adapter) is not None:
            return
        self._context.metrics.observe_load("failed", self._now() - started)
        if (
            isinstance(error, ServerRefusedError)
            and error.status == _STALE_FENCING_NUMBER_STATUS
        ):
            self._on_fenced()
            return
        is_missing = await self._weights.exists(self._weights_path(adapter)) is False
        pause = self._failures.note_failure(
            adapter, self._now(), random.random(), is_missing=is_missing
        )
        detail = "weights are missing" if is_missing else "the engine could not load"
        logger.warning(
            "adapter load failed; its waiting requests are refused: %s",
            error,
            extra={"adapter": str(adapter), "server": self._server},
        )
        self._context.journal.note(
            f"load failed on {self._server}: {detail}", str(adapter), adapter.name
        )
        self._on_failure(
            adapter, Refusal(RefusalReason.LOAD_FAILED, Ran.NO, detail, pause)
        )

    async def _resync(self) -> None:
        for _ in range(_MAX_RESYNC_ATTEMPTS):
            changes = self._slots.changes
            if self._slots.reconcile(await self._engine.state(), changes):
                return

    def _weights_path(self, adapter: AdapterRef) -> str:
        declared = self._context.configuration().adapter(adapter.name)
        if declared is None:
            return str(adapter)
        return next(
            (item.path for item in declared.versions if item.name == adapter.version),
            str(adapter),
        )

    def _now(self) -> float:
        return self._context.clock.monotonic()
