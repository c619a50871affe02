"""Assign a server of a service without models to a request."""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from gooseberrydeal._internal.models.ids import DomainName, ServerId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.operations.router.assignment import (
    Assignment,
    NoAssignment,
)
from gooseberrydeal._internal.operations.router.eligible_servers import (
    EligibleServers,
)
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.waiting.held_place import HeldPlace
from gooseberrydeal._internal.operations.router.waiting.no_place import NoPlace
from gooseberrydeal._internal.operations.router.waiting.place_client import (
    PlaceClient,
)
from gooseberrydeal._internal.policy.plain_server_choice import (
    PlainCandidate,
    choose_plain_server,
)
from gooseberrydeal._internal.policy.waiting.retry_jitter import jittered_retry_after

# For a response to reach its caller before that gives up.
_CALLER_MARGIN_SECONDS: Final = 0.05


class PlainAssignment:
    """Choose the plain server with the least load, with a place where one is needed.

    Without ``places`` requests are sent without a place.
    """

    def __init__(
        self,
        eligible: EligibleServers,
        places: PlaceClient | None,
        domain: DomainName,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._eligible = eligible
        self._places = places
        self._domain = domain
        self._clock = clock
        self._rng = rng
        if places is not None:
            eligible.add_response_listener(places.response_received)

    async def assign(self, request: RoutedRequest) -> Assignment | NoAssignment:
        """Return a server that takes a request now, after a wait if that helps."""
        request.release_place()
        wait_until = self._clock() + request.route.target_latency
        brittle = self._eligible.brittle
        while True:
            eligible = self._eligible.find(request)
            records = {r.id: r for r in eligible if self._eligible.may_send(r)}
            if records or not self._eligible.lack_places(eligible):
                break
            if not await brittle.wait_for_place(request.service, wait_until):
                break
        candidates = self._candidates(records)
        best = choose_plain_server(candidates, self._rng)
        if best is None:
            return self._eligible.refusal(request, eligible)
        server: ServerId = best.server
        if self._needs_place(request, records, best):
            found = await self._acquire(request, records, candidates, best)
            if isinstance(found, NoPlace):
                seconds = jittered_retry_after(found.seconds, self._rng)
                return NoAssignment(RefusalReason.OVERLOADED, seconds)
            if found is not None:
                request.place = found
                server = found.server
        self._eligible.limits.take(records[server])
        return Assignment(records[server])

    def _needs_place(
        self,
        request: RoutedRequest,
        records: Mapping[ServerId, ServerRecord],
        best: PlainCandidate,
    ) -> bool:
        """Return whether to ask for a place; brittle servers' places are divided."""
        places = self._places
        if places is None or best.is_avoided or not places.is_needed(request.service):
            return False
        return not any(self._eligible.brittle.is_brittle(r) for r in records.values())

    async def _acquire(
        self,
        request: RoutedRequest,
        records: Mapping[ServerId, ServerRecord],
        candidates: Sequence[PlainCandidate],
        best: PlainCandidate,
    ) -> HeldPlace | NoPlace | None:
        assert self._places is not None
        others = [c for c in candidates if c is not best and not c.is_avoided]
        second = choose_plain_server(others, self._rng)
        order = [best] if second is None else [best, second]
        wanted = [records[item.server] for item in order]
        now = self._clock()
        return await self._places.acquire(
            request,
            wanted,
            request.deadline - now - _CALLER_MARGIN_SECONDS,
            request.arrived_at + request.route.target_latency - now,
        )

    def _candidates(
        self, records: Mapping[ServerId, ServerRecord]
    ) -> list[PlainCandidate]:
        now = self._clock()
        return [
            PlainCandidate(
                server=record.id,
                requests=record.load.requests(now),
                slots=record.entry.slots,
                slowdown=record.load.slowdown(now) * record.service_time.relative(now),
                is_local=record.entry.domain == self._domain,
                failure_rate=record.health.failure_rate(now),
                is_avoided=not record.is_reachable,
            )
            for record in records.values()
        ]
