"""Find a server for each request, loading its adapter where needed."""

import logging
import math
import random
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ids import DomainName, ServerId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.adapter_key import (
    FIRST_VERSION,
    AdapterCopyKey,
)
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.operations.router.assignment import (
    Assignment,
    NoAssignment,
)
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.pending_want import PendingWant
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.adapter_demand import AdapterDemand
from gooseberrydeal._internal.policy.engine_choice import (
    PREFILL_TOKENS_PER_SECOND,
    EngineCandidate,
    EngineDecision,
    EngineVerdict,
    RequestSize,
    choose_engine,
    unread_limit,
)
from gooseberrydeal._internal.policy.plain_server_choice import (
    PlainCandidate,
    choose_plain_server,
)

logger = logging.getLogger(__name__)

# A waiting request looks again this often, in case no report wakes it.
_LOOK_AGAIN_SECONDS: Final = 0.06
# A load that takes longer than this went wrong; another engine is asked.
_LOAD_PATIENCE_SECONDS: Final = 1.2
# Requests wait for room or a load no longer than this part of the caller's patience;
# then the caller learns that they did not run, while it can still come back.
_MOST_WAIT_PART: Final = 0.5
# A new adapter version replaces the old one this long after it was declared, well
# before the bound; until then the old one may serve while the new one loads.
_OLD_VERSION_PART: Final = 0.4
_RETRY_AFTER_SECONDS: Final = 0.4
# Bursts that fill all slots last for some seconds; a caller that comes back at once
# meets the same queue, and most callers come back only once.
_AFTER_BURST_SECONDS: Final = 2.0
# For this part of the target latency a request rather waits than makes the pauses in
# other streams too long.
_PAUSE_FIRST_PART: Final = 0.4


class Dispatcher:
    """Decide with what this host knows; everything it needs is in memory."""

    def __init__(
        self,
        servers: ServerTable,
        view: MetadataView,
        domain: DomainName,
        version_bound: float,
        signal: ChangeSignal,
        on_want: Callable[[ServerRecord], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._servers = servers
        self._view = view
        self._domain = domain
        self.set_version_bound(version_bound)
        self._signal = signal
        self._on_want = on_want
        self._clock = clock
        self._rng = rng
        self._demand = AdapterDemand()

    def set_version_bound(self, seconds: float) -> None:
        """Replace old adapter versions well before this time after a new one."""
        self._version_seconds = seconds * _OLD_VERSION_PART

    async def assign(self, request: RoutedRequest) -> Assignment | NoAssignment:
        """Return a server at once, or after its adapter is loaded."""
        if request.facts.adapter is None:
            return self._assign_plain(request)
        return await self._assign_engine(request)

    def _assign_plain(self, request: RoutedRequest) -> Assignment | NoAssignment:
        now = self._clock()
        records = {r.id: r for r in self._usable(request)}
        candidates = [
            PlainCandidate(
                server=record.id,
                requests=record.load.requests(now),
                slots=record.entry.slots,
                pace=record.load.pace,
                is_local=record.entry.domain == self._domain,
                failure_rate=record.health.failure_rate(now),
                is_avoided=record.health.is_unreachable,
            )
            for record in records.values()
        ]
        best = choose_plain_server(candidates, self._rng)
        if best is None:
            return NoAssignment(RefusalReason.NO_SERVER, _RETRY_AFTER_SECONDS)
        return Assignment(records[best.server])

    async def _assign_engine(self, request: RoutedRequest) -> Assignment | NoAssignment:
        begun = self._clock()
        assert request.facts.adapter is not None
        self._demand.note_request(request.facts.adapter, begun)
        patience = min(
            request.deadline - request.arrived_at, request.route.caller_patience
        )
        latest = begun + patience * _MOST_WAIT_PART
        wanted: PendingWant | None = None
        try:
            while True:
                now = self._clock()
                copy = self._copy_for(request, now)
                decision = self._decide(request, copy, now)
                record = self._servers.get(decision.server or ServerId(""))
                if decision.verdict is EngineVerdict.SEND and record is not None:
                    asked_at = now if wanted is None else wanted.asked_at
                    return Assignment(record, copy, now - asked_at)
                if decision.verdict is EngineVerdict.NO_ENGINE:
                    return NoAssignment(RefusalReason.NO_SERVER, _RETRY_AFTER_SECONDS)
                if now >= latest:
                    reason = RefusalReason.OVERLOADED
                    if wanted is not None:
                        reason = RefusalReason.LOAD_FAILED
                    return NoAssignment(reason, _AFTER_BURST_SECONDS)
                asks = decision.verdict in (EngineVerdict.LOAD, EngineVerdict.QUEUE)
                if asks and record is not None:
                    on_time_until = request.arrived_at + request.route.target_latency
                    is_queued = decision.verdict is EngineVerdict.QUEUE
                    wish = PendingWant(record, copy, now, is_queued)
                    wanted = self._want(wanted, wish, on_time_until, now)
                seconds = _LOOK_AGAIN_SECONDS
                if wanted is not None:
                    ready_in = wanted.record.ready_in(copy, now)
                    seconds = ready_in if ready_in > 0 else seconds
                await self._signal.wait(copy, min(seconds, latest - now))
        finally:
            if wanted is not None:
                wanted.record.unwant(wanted.copy)

    def _want(
        self,
        pending: PendingWant | None,
        wish: PendingWant,
        on_time_until: float,
        now: float,
    ) -> PendingWant:
        """Ask the engine's owner for a load, and stay with it for a while.

        A request that was queued leaves for an engine that has a slot to give.
        """
        if pending is not None:
            is_same = pending.record is wish.record and pending.copy == wish.copy
            is_patient = now - pending.asked_at < _LOAD_PATIENCE_SECONDS
            is_served = pending.copy == wish.copy and pending.record.takes_orders(now)
            is_better = pending.is_queued and not wish.is_queued
            if is_same or (is_patient and is_served and not is_better):
                return pending
            pending.record.unwant(pending.copy)
        if wish.record.want(wish.copy, on_time_until):
            self._on_want(wish.record)
        return wish

    def _copy_for(self, request: RoutedRequest, now: float) -> AdapterCopyKey:
        """Return the version to run: the newest, or the old one for a moment."""
        adapter = request.facts.adapter
        assert adapter is not None
        declared = self._view.versions.get(adapter)
        if declared is None:
            return AdapterCopyKey(adapter.model, adapter.adapter, FIRST_VERSION)
        newest = AdapterCopyKey(adapter.model, adapter.adapter, declared.version)
        if now - declared.learned_at >= self._version_seconds:
            return newest
        held = self._held_versions(request, newest, now)
        if newest in held or not held:
            return newest
        return max(held, key=lambda key: key.version)

    def _held_versions(
        self, request: RoutedRequest, newest: AdapterCopyKey, now: float
    ) -> set[AdapterCopyKey]:
        return {
            key
            for record in self._servers.of_service(request.service)
            for key in record.versions(newest.model, newest.adapter)
            if record.copy_state(key, now) is CopyState.READY
        }

    def _decide(
        self, request: RoutedRequest, copy: AdapterCopyKey, now: float
    ) -> EngineDecision:
        waited = now - request.arrived_at
        pause = request.route.longest_pause
        if waited > request.route.target_latency * _PAUSE_FIRST_PART:
            pause = math.inf
        candidates = [
            self._candidate(record, copy, pause, now)
            for record in self._usable(request)
        ]
        size = RequestSize(request.facts.prompt_tokens, request.tokens)
        expected_uses = self._demand.expected_uses(copy.key, now) * len(
            self._view.hosts
        )
        return choose_engine(copy, size, candidates, expected_uses)

    def _candidate(
        self, record: ServerRecord, copy: AdapterCopyKey, pause: float, now: float
    ) -> EngineCandidate:
        size = record.service.engine
        event_tokens = size.event_tokens if size is not None else 1
        return EngineCandidate(
            server=record.id,
            requests=record.load.requests(now),
            tokens=record.load.tokens(now),
            unread_tokens=record.load.unread_tokens(now, PREFILL_TOKENS_PER_SECOND),
            batch_size=record.entry.slots,
            token_capacity=size.token_capacity if size is not None else 0,
            pace=record.load.pace,
            is_local=record.entry.domain == self._domain,
            has_model=record.holds_model(copy.model),
            copy=record.copy_state(copy, now),
            ready_in=record.ready_in(copy, now),
            can_load=record.can_load(now),
            takes_orders=record.takes_orders(now),
            is_warm=record.is_warm(copy),
            is_unheard=record.is_unheard(now),
            unread_limit=unread_limit(pause, event_tokens, record.load.pace),
            failure_rate=record.health.failure_rate(now),
            is_avoided=record.health.is_unreachable,
        )

    def _usable(self, request: RoutedRequest) -> list[ServerRecord]:
        return [
            record
            for record in self._servers.of_service(request.service)
            if record.id not in request.excluded
        ]
