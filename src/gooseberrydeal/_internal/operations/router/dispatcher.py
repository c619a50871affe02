"""Assign a server to each request and request the load of its adapter if needed."""

import logging
import math
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.models.ids import DomainName, ServerId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.assignment import (
    Assignment,
    NoAssignment,
)
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.eligible_servers import (
    EligibleServers,
)
from gooseberrydeal._internal.operations.router.engine_candidate import (
    engine_candidate,
)
from gooseberrydeal._internal.operations.router.engine_scope import EngineScope
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.pending_want import PendingLoad
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.version_rollout import VersionRollout
from gooseberrydeal._internal.operations.router.waiting.admission_queues import (
    AdmissionQueues,
)
from gooseberrydeal._internal.operations.router.waiting.engine_places import (
    EnginePlaces,
)
from gooseberrydeal._internal.operations.router.waiting.place_client import (
    PlaceClient,
)
from gooseberrydeal._internal.operations.router.waiting.plain_assignment import (
    PlainAssignment,
)
from gooseberrydeal._internal.operations.router.waiting.request_turn import RequestTurn
from gooseberrydeal._internal.policy.adapter_demand import AdapterDemand
from gooseberrydeal._internal.policy.engine_choice import (
    EngineAction,
    EngineDecision,
    RequestSize,
    choose_engine,
    is_batch_full,
)
from gooseberrydeal._internal.policy.speeds.prefill_limit import PrefillLimit

logger = logging.getLogger(__name__)

# A waiting request checks again after this time even if no engine status wakes it.
_RECHECK_INTERVAL_SECONDS: Final = 0.06
# For this fraction of the target latency a request waits rather than exceed the pause
# limit of streams that are already running; after that the limit is ignored.
_PAUSE_LIMIT_FRACTION: Final = 0.4


class Dispatcher:
    """Assign requests to servers, using only state that this host holds in memory."""

    def __init__(
        self,
        servers: ServerTable,
        view: MetadataView,
        eligible: EligibleServers,
        scope: EngineScope,
        domain: DomainName,
        version_bound: float,
        signal: ChangeSignal,
        on_load_requested: Callable[[ServerRecord], None],
        clock: Callable[[], float],
        rng: random.Random,
        places: PlaceClient | None = None,
        plain_places: PlaceClient | None = None,
        metrics: RouterMetrics | None = None,
    ) -> None:
        self._servers = servers
        self._view = view
        self._domain = domain
        self._rollout = VersionRollout(
            servers, view, version_bound, on_load_requested, clock
        )
        self._queues = AdmissionQueues(
            view, servers, signal, metrics or RouterMetrics(), clock, rng
        )
        self._engine_places = EnginePlaces(places, self._queues, clock, rng)
        eligible.brittle.add_release_listener(self._queues.request_ended)
        self._on_load_requested = on_load_requested
        self._clock = clock
        self._rng = rng
        self._plain = PlainAssignment(eligible, plain_places, domain, clock, rng)
        self._eligible = eligible
        self._scope = scope
        self._limits = eligible.limits
        self._demand = AdapterDemand()

    @property
    def eligible(self) -> EligibleServers:
        """Return the selection of servers that a request may be sent to."""
        return self._eligible

    @property
    def queues(self) -> AdmissionQueues:
        """Return the requests that wait for engines."""
        return self._queues

    @property
    def rollout(self) -> VersionRollout:
        """Return what decides which version of an adapter may serve a request."""
        return self._rollout

    async def assign(self, request: RoutedRequest) -> Assignment | NoAssignment:
        """Return a server for a request, after its adapter was loaded if needed."""
        cut_off = self._eligible.cut_off(request)
        if cut_off is not None:
            return cut_off
        self._limits.note_request(request.service)
        if request.attributes.adapter is None:
            return await self._plain.assign(request)
        return await self._assign_engine(request)

    async def _assign_engine(self, request: RoutedRequest) -> Assignment | NoAssignment:
        """Wait for an engine with capacity, requesting adapter loads where needed."""
        started_at = self._clock()
        adapter = request.attributes.adapter
        assert adapter is not None
        self._demand.note_request(adapter, started_at)
        request.release_place()
        turn = self._queues.turn(request)
        pending_load: PendingLoad | None = None
        try:
            await turn.begin(self._rollout.newest(adapter))
            checks_without_load = 0
            while True:
                copy = self._rollout.newest(adapter)
                records = await self._in_scope(request, copy, checks_without_load)
                now = self._clock()
                decision = self._decide(request, copy, records, now)
                proposed = self._proposed_load(decision, copy, now)
                found = await self._find_sendable(request, copy, decision, proposed)
                placed = await self._engine_places.place(
                    request, turn, copy, found, records, is_loading=proposed is not None
                )
                if isinstance(placed, NoAssignment):
                    return placed
                if isinstance(placed, tuple):
                    requested_at = (
                        now if pending_load is None else pending_load.requested_at
                    )
                    self._limits.take(placed[0])
                    turn.note_sent()
                    return Assignment(*placed, now - requested_at)
                refusal = self._eligible.final_refusal(
                    request,
                    has_engine=decision.action is not EngineAction.NO_ENGINE,
                    can_wait=now < turn.ends_at,
                )
                if refusal is not None:
                    return refusal
                retry_after = turn.retry_after(now, is_loading=pending_load is not None)
                if retry_after is not None:
                    reason = RefusalReason.OVERLOADED
                    if pending_load is not None:
                        reason = RefusalReason.LOAD_FAILED
                    elif decision.lacks_owner:
                        reason = RefusalReason.NO_OWNER
                    return NoAssignment(reason, retry_after)
                if proposed is not None:
                    pending_load = self._request_load(
                        pending_load, proposed, request.target_deadline, now
                    )
                if pending_load is None or pending_load.is_overdue(now):
                    checks_without_load += 1
                if placed is None:
                    await self._wait(turn, copy, pending_load, now)
        finally:
            turn.end()
            if pending_load is not None:
                pending_load.record.remove_load_request(pending_load.copy)

    async def _wait(
        self,
        turn: RequestTurn,
        copy: AdapterCopyKey,
        pending_load: PendingLoad | None,
        now: float,
    ) -> None:
        """Wait for a change, or until the load that was requested is expected."""
        ready_in = (
            0.0 if pending_load is None else pending_load.record.ready_in(copy, now)
        )
        seconds = ready_in or _RECHECK_INTERVAL_SECONDS
        await turn.wait(copy, seconds, is_loading=pending_load is not None)

    def _request_load(
        self,
        current: PendingLoad | None,
        proposed: PendingLoad,
        target_deadline: float,
        now: float,
    ) -> PendingLoad:
        """Request the proposed load, unless the current one is still waited for."""
        if current is not None:
            if not current.yields_to(proposed, now):
                return current
            current.record.remove_load_request(current.copy)
        if proposed.record.add_load_request(proposed.copy, target_deadline):
            self._on_load_requested(proposed.record)
        return proposed

    async def _in_scope(
        self, request: RoutedRequest, copy: AdapterCopyKey, failed_checks: int
    ) -> list[ServerRecord]:
        """Return the engines to consider for a copy, with a recent status."""
        records = self._scope.select(
            self._eligible.find_sendable(request),
            copy,
            request.attributes.request_id,
            failed_checks,
        )
        await self._scope.refresh(records)
        return records

    def _proposed_load(
        self, decision: EngineDecision, copy: AdapterCopyKey, now: float
    ) -> PendingLoad | None:
        """Return the load that a decision asks for, if any."""
        record = self._servers.get(decision.server or ServerId(""))
        if record is None or not decision.action.needs_load:
            return None
        is_queued = decision.action is EngineAction.QUEUE
        return PendingLoad(record, copy, now, is_queued)

    async def _find_sendable(
        self,
        request: RoutedRequest,
        newest: AdapterCopyKey,
        decision: EngineDecision,
        load: PendingLoad | None,
    ) -> tuple[ServerRecord, AdapterCopyKey] | None:
        """Return an engine that serves a request now, and the version, if there is one.

        ``decision`` is that on the newest version. An older one serves instead, while
        the newest is loaded, if the request is expected to end there in time.
        """
        copy = newest
        if decision.action is not EngineAction.SEND:
            older = self._rollout.older(newest, request.service)
            if older is None or request.needs_newest:
                return None
            if load is not None:
                self._rollout.request_load(load, request.target_deadline)
            copy = older
            records = self._rollout.admitting(
                await self._in_scope(request, copy, 0), copy, request
            )
            decision = self._decide(request, copy, records, self._clock())
        record = self._servers.get(decision.server or ServerId(""))
        if record is None or decision.action is not EngineAction.SEND:
            return None
        return record, copy

    def _decide(
        self,
        request: RoutedRequest,
        copy: AdapterCopyKey,
        records: list[ServerRecord],
        now: float,
    ) -> EngineDecision:
        waited = now - request.arrived_at
        pause_limit = request.route.longest_pause
        if waited > request.route.target_latency * _PAUSE_LIMIT_FRACTION:
            pause_limit = math.inf
        attributes = request.attributes
        limit = PrefillLimit(
            pause_limit, request.route.target_latency, attributes.prompt_tokens
        )
        candidates = [
            engine_candidate(record, copy, self._domain, limit, now)
            for record in records
            if not is_batch_full(record.load.requests(now), record.entry.slots)
        ]
        if records and not candidates:
            return EngineDecision(EngineAction.WAIT)
        limited = {r.id for r in records if self._limits.is_limited(r)}
        if limited and len(limited) < len(records):
            candidates = [
                replace(item, can_load=False, accepts_load_orders=False)
                if item.server in limited
                else item
                for item in candidates
            ]
        size = RequestSize(attributes.prompt_tokens, request.tokens)
        expected_uses = self._demand.expected_uses(copy.key, now) * len(
            self._view.hosts
        )
        # With few hosts, statuses are recent and the least loaded engine is the best.
        rng = None if self._view.periods.reports_all else self._rng
        return choose_engine(copy, size, candidates, expected_uses, rng)
