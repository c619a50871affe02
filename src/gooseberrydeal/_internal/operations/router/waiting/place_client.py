"""Ask place keepers for places at plain servers that are contended."""

import logging
import math
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.models.ids import AccountName, ServerId, ServiceName
from gooseberrydeal._internal.models.routing.place_messages import (
    PlaceGrant,
    PlaceOutcome,
    PlaceRelease,
    PlaceRequest,
)
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.waiting.held_place import HeldPlace
from gooseberrydeal._internal.operations.router.waiting.keeper_silence import (
    KeeperSilence,
)
from gooseberrydeal._internal.operations.router.waiting.no_place import NoPlace
from gooseberrydeal._internal.operations.router.waiting.place_link import PlaceLink
from gooseberrydeal._internal.operations.router.waiting.place_waiter import (
    PlaceAsk,
    PlaceWaiter,
)
from gooseberrydeal._internal.policy.waiting.contention import Contention

logger = logging.getLogger(__name__)

# A keeper that has not answered after this time is taken for silent; a busy host can
# take some tens of ms.
_ANSWER_SECONDS: Final = 0.05
# A waiting request asks again when it should have a place, as the grant may have been
# lost or the keeper ended, but neither sooner nor later than this.
_MIN_REPEAT_SECONDS: Final = 0.2
_MAX_REPEAT_SECONDS: Final = 1.0
# The second keeper is asked if the first has no place in time.
_MAX_KEEPERS: Final = 2
# A request that expects to wait longer than this part of the time until it is late also
# asks the second keeper.
_PATIENCE_FRACTION: Final = 0.5
# Requests of plain services take some tens of ms; a load stated before is too old.
_LOAD_SECONDS: Final = 0.1


class PlaceClient:
    """Get places for the requests of this host, and give them back.

    Places are asked for only at the servers of plain services with fewer places than
    there are hosts, and only while these are contended. ``clock`` counts the time while
    the host is suspended.
    """

    def __init__(
        self,
        link: PlaceLink,
        view: MetadataView,
        servers: ServerTable,
        metrics: RouterMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._link = link
        self._view = view
        self._servers = servers
        self._metrics = metrics
        self._clock = clock
        self._contention: dict[ServiceName, Contention] = {}
        self._silence = KeeperSilence()
        self._asks: dict[int, tuple[PlaceWaiter, PlaceAsk]] = {}
        self._held: dict[int, PlaceAsk] = {}
        self._loads: dict[ServerId, tuple[int, float]] = {}
        self._last_number = 0
        link.set_handler(PlaceGrant, self.grant_received)

    def is_needed(self, service: ServiceName) -> bool:
        """Return whether requests for a plain service have to ask for places now."""
        if not self.is_contended(service):
            return False
        records = self._servers.of_service(service)
        return sum(r.entry.slots for r in records) < len(self._view.hosts)

    def is_contended(self, service: ServiceName) -> bool:
        """Return whether the servers of a service have little room left."""
        contention = self._contention.get(service)
        return contention is not None and contention.is_on(self._clock())

    def note_full(self, record: ServerRecord) -> None:
        """Record that a server of a service has no room, as far as this host knows."""
        self._contention_of(record).note_rejected(self._clock())

    def response_received(
        self, record: ServerRecord, attributes: ResponseAttributes
    ) -> None:
        """Apply what a response says of how full its server is."""
        contention = self._contention_of(record)
        is_rejected = attributes.is_not_run and attributes.wait_seconds is None
        # Engines also turn requests away whose adapter they do not have.
        if is_rejected and record.service.engine is None:
            contention.note_rejected(self._clock())
        load = attributes.load
        if load is not None:
            self._loads[record.id] = (load.running + load.waiting, self._clock())
            utilisation = (load.running + load.waiting) / max(1, record.entry.slots)
            contention.note_utilisation(utilisation, self._clock())

    def grant_received(self, grant: PlaceGrant) -> None:
        """Take in the answer of a place keeper.

        A place whose request no longer waits for it is given back at once, and that of
        a request that is being served is confirmed.
        """
        record = self._servers.get(grant.server)
        if record is not None and grant.is_contended:
            self._contention_of(record).note_keeper(self._clock())
        if grant.outcome is PlaceOutcome.NOTICE:
            return
        if grant.incarnation != self._link.own.incarnation:
            return
        self._silence.note_answer(grant.keeper)
        found = self._asks.get(grant.number)
        if found is not None:
            waiter, ask = found
            waiter.note_answer(ask, grant)
            return
        if grant.outcome is not PlaceOutcome.GRANTED:
            return
        held = self._held.get(grant.number)
        if held is not None:
            self._link.send(held.keeper, replace(held.message, is_in_use=True))
        else:
            self._metrics.count_place("granted_late")
            own = self._link.own
            release = PlaceRelease(
                own.host, own.incarnation, grant.number, grant.server, False
            )
            self._link.send(grant.keeper, release)

    async def acquire(
        self,
        request: RoutedRequest,
        records: Sequence[ServerRecord],
        useless_in: float,
        late_in: float,
        patience: float = math.inf,
    ) -> HeldPlace | NoPlace | None:
        """Return a place at one of the servers, which are in order of preference.

        Returns ``None`` if a keeper does not answer. The response is late if it begins
        after ``late_in`` seconds, and useless after ``useless_in``. The request waits
        for ``patience`` seconds at most.
        """
        waiter = PlaceWaiter()
        try:
            found = await self._acquire(
                waiter, request, records, useless_in, late_in, patience
            )
        finally:
            for ask in waiter.asks:
                del self._asks[ask.message.number]
                if ask is not waiter.held and not ask.has(PlaceOutcome.NONE_IN_TIME):
                    self._release(ask, was_rejected=False)
        if found is None:
            self._metrics.count_place("keeper_silent")
        elif isinstance(found, NoPlace) and found.is_final:
            self._metrics.count_place("none_in_time")
            self._log_refusal(request, waiter, found.seconds)
        return found

    async def _acquire(
        self,
        waiter: PlaceWaiter,
        request: RoutedRequest,
        records: Sequence[ServerRecord],
        useless_in: float,
        late_in: float,
        patience: float,
    ) -> HeldPlace | NoPlace | None:
        ends_at = self._clock() + min(useless_in, patience)
        for record in records[:_MAX_KEEPERS]:
            ask = self._new_ask(waiter, request, record, late_in, useless_in)
            if ask is None or not await self._ask(waiter, ask):
                return None
            if waiter.granted is not None:
                self._metrics.count_place("granted")
                return self._hold(waiter, waiter.granted)
            if ask.waits_at_most(late_in * _PATIENCE_FRACTION):
                break
        while waiter.waiting and self._clock() < ends_at:
            seconds = max(waiter.retry_after, _MIN_REPEAT_SECONDS)
            seconds = min(seconds, _MAX_REPEAT_SECONDS, ends_at - self._clock())
            if await waiter.wait_for_change(seconds):
                break
            if self._clock() >= ends_at:
                break
            for ask in waiter.waiting:
                if not await self._ask(waiter, ask):
                    return None
        if waiter.granted is not None:
            self._metrics.count_place("granted_after_wait")
            return self._hold(waiter, waiter.granted)
        is_final = not waiter.waiting or patience >= useless_in
        return NoPlace(waiter.retry_after, is_final)

    def _new_ask(
        self,
        waiter: PlaceWaiter,
        request: RoutedRequest,
        record: ServerRecord,
        late_in: float,
        useless_in: float,
    ) -> PlaceAsk | None:
        """Return a request to a server's keeper, ``None`` if that is silent."""
        keeper = self._link.keeper(record)
        if keeper is None or self._silence.is_silent(keeper, self._clock()):
            return None
        self._last_number += 1
        account = request.account
        message = PlaceRequest(
            self._link.own.host,
            self._link.own.incarnation,
            self._last_number,
            record.id,
            request.rank,
            late_in,
            useless_in,
            AccountName("") if account is None else account.name,
            request.tokens if record.service.engine is not None else 0,
        )
        ask = PlaceAsk(message, keeper)
        waiter.asks.append(ask)
        self._asks[message.number] = (waiter, ask)
        return ask

    async def _ask(self, waiter: PlaceWaiter, ask: PlaceAsk) -> bool:
        """Send a request, also again; return whether its keeper answers."""
        ask.answer = None
        self._link.send(ask.keeper, ask.message)
        if await waiter.wait_for_answer(ask, _ANSWER_SECONDS):
            return True
        if self._silence.note_unanswered(ask.keeper, self._clock()):
            logger.warning(
                "place keeper %s does not answer; requests are sent without a place",
                ask.keeper,
                extra={"server": ask.server},
            )
        return False

    def _hold(self, waiter: PlaceWaiter, ask: PlaceAsk) -> HeldPlace:
        waiter.held = ask
        self._held[ask.message.number] = ask
        seconds = 0.0 if ask.answer is None else ask.answer.seconds
        return HeldPlace(
            ask.server,
            self._clock() + seconds,
            lambda was_rejected: self._release(ask, was_rejected=was_rejected),
            self._clock,
        )

    def _release(self, ask: PlaceAsk, *, was_rejected: bool) -> None:
        """Give a place back, or withdraw a request for one."""
        message = ask.message
        self._held.pop(message.number, None)
        release = PlaceRelease(
            message.host,
            message.incarnation,
            message.number,
            message.server,
            was_rejected,
            self._load(message.server),
        )
        self._link.send(ask.keeper, release)

    def _load(self, server: ServerId) -> int | None:
        """Return the load that a server stated a moment ago."""
        load, at = self._loads.get(server, (0, -math.inf))
        return load if self._clock() - at < _LOAD_SECONDS else None

    def _contention_of(self, record: ServerRecord) -> Contention:
        return self._contention.setdefault(record.entry.service, Contention())

    def _log_refusal(
        self, request: RoutedRequest, waiter: PlaceWaiter, seconds: float
    ) -> None:
        asked = ", ".join(f"{ask.server} at {ask.keeper}" for ask in waiter.asks)
        logger.info(
            "no place in time at %s; expected in %.2f s",
            asked,
            seconds,
            extra={"request_id": request.attributes.request_id},
        )
