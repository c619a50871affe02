"""Get places at engines that are contended."""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.operations.router.assignment import NoAssignment
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.waiting.admission_queues import (
    AdmissionQueues,
)
from gooseberrydeal._internal.operations.router.waiting.held_place import HeldPlace
from gooseberrydeal._internal.operations.router.waiting.no_place import NoPlace
from gooseberrydeal._internal.operations.router.waiting.place_client import (
    PlaceClient,
)
from gooseberrydeal._internal.operations.router.waiting.request_turn import RequestTurn
from gooseberrydeal._internal.policy.waiting.retry_jitter import jittered_retry_after

# The engine at which a request has a place and the copy that it uses there, its
# refusal, or that it has no place yet.
PlacedRequest = tuple[ServerRecord, AdapterCopyKey] | NoAssignment | NoPlace

# A request that waits at place keepers weighs all engines again after this time, since
# its adapter may be on others by then. It loses nothing: keepers go by urgency. Later
# it does so less often, as each time costs some datagrams.
_MIN_PATIENCE_SECONDS: Final = 0.5
_MAX_PATIENCE_SECONDS: Final = 2.0


class EnginePlaces:
    """Let requests that wait for engines wait at the engines' place keepers.

    Designed for services whose requests wait in a queue: while their engines are full,
    a host's own estimate of the free places is too old to tell which of the requests of
    all hosts goes next. Without ``places`` hosts go by their estimates.
    """

    def __init__(
        self,
        places: PlaceClient | None,
        queues: AdmissionQueues,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._places = places
        self._queues = queues
        self._clock = clock
        self._rng = rng

    async def place(
        self,
        request: RoutedRequest,
        turn: RequestTurn,
        copy: AdapterCopyKey,
        found: tuple[ServerRecord, AdapterCopyKey] | None,
        records: Sequence[ServerRecord],
        *,
        is_loading: bool,
    ) -> PlacedRequest | None:
        """Return where a request is sent, after a wait for a place if one is needed.

        ``found`` is the engine that this host would choose, and ``records`` those that
        are considered. Returns ``None`` if the request has to wait for a change.
        """
        if not self._queues.has_queue(request.service):
            return found
        if self._are_needed(request) and not is_loading:
            ends_at = turn.ends_at
            return await self._acquire(request, copy, found, records, ends_at) or found
        if found is None:
            if self._places is not None and records and not is_loading:
                self._places.note_full(records[0])
            return None
        return None if turn.must_hold_back(found[0]) else found

    def _are_needed(self, request: RoutedRequest) -> bool:
        """Return whether a request has to ask for a place."""
        places = self._places
        return places is not None and places.is_contended(request.service)

    async def _acquire(
        self,
        request: RoutedRequest,
        copy: AdapterCopyKey,
        chosen: tuple[ServerRecord, AdapterCopyKey] | None,
        records: Iterable[ServerRecord],
        ends_at: float,
    ) -> PlacedRequest | None:
        """Return the engine at which a request has a place, or why it has none.

        ``chosen`` is preferred to the other engines that have the adapter ready.
        Returns ``None`` if no keeper answers, so that the request may be sent to it
        without a place.
        """
        assert self._places is not None
        now = self._clock()
        copy = copy if chosen is None else chosen[1]
        holders = self._holders(copy, chosen, records, now)
        if not holders:
            return None
        waited = now - request.arrived_at
        found = await self._places.acquire(
            request,
            holders,
            ends_at - now,
            request.arrived_at + request.route.target_latency - now,
            min(max(waited, _MIN_PATIENCE_SECONDS), _MAX_PATIENCE_SECONDS),
        )
        if isinstance(found, HeldPlace):
            request.place = found
            record = next(item for item in holders if item.id == found.server)
            return record, copy
        if found is not None and found.is_final:
            seconds = jittered_retry_after(found.seconds, self._rng)
            return NoAssignment(RefusalReason.OVERLOADED, seconds)
        return found

    def _holders(
        self,
        copy: AdapterCopyKey,
        chosen: tuple[ServerRecord, AdapterCopyKey] | None,
        records: Iterable[ServerRecord],
        now: float,
    ) -> list[ServerRecord]:
        """Return the engines that have the adapter ready, the preferred one first."""
        ready = [
            record
            for record in records
            if record.is_reachable
            and (not copy.adapter or record.copy_state(copy, now) is CopyState.READY)
        ]
        return sorted(
            ready,
            key=lambda item: (
                chosen is None or item is not chosen[0],
                item.load.requests(now) / max(1, item.entry.slots),
                self._rng.random(),
            ),
        )
