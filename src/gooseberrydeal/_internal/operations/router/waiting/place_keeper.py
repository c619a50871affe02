"""Allocate the places of the plain servers of which this host is the place keeper."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.place_messages import (
    PlaceGrant,
    PlaceOutcome,
    PlaceRelease,
    PlaceRequest,
)
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.waiting.place_link import PlaceLink
from gooseberrydeal._internal.policy.waiting.place_queue import (
    PlaceAnswer,
    PlaceId,
    PlaceQueue,
)
from gooseberrydeal._internal.policy.waiting.server_room import ServerRoom
from gooseberrydeal._internal.policy.waiting.waiting_request import WaitingRequest

logger = logging.getLogger(__name__)

# Leases and hopeless requests are looked for this often while there are any requests.
_TICK_SECONDS: Final = 0.05
# Hosts are told again after this time that they have to ask for places; half of the
# time for which they then do, so that one lost datagram does no harm.
_NOTICE_SECONDS: Final = 2.5
# At most one line per server and this time says how many requests were refused.
_LOG_SECONDS: Final = 5.0


@dataclass(slots=True)
class _KeptServer:
    """Hold the places of one start of a server, and what was said of it."""

    queue: PlaceQueue
    started_at: int
    logged_at: float
    noticed_at: float | None = None
    refused: int = 0
    expired: int = 0


class PlaceKeeper:
    """Answer the requests of all hosts for places at the servers kept here.

    What was granted by an earlier keeper is not known: a new one assumes that the
    server has the requests that this host's estimate of its load says. ``clock``
    counts the time while the host is suspended, so that leases end then too.
    """

    def __init__(
        self,
        link: PlaceLink,
        servers: ServerTable,
        metrics: RouterMetrics,
        now: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._link = link
        self._servers = servers
        self._metrics = metrics
        self._now = now
        self._clock = clock
        self._kept: dict[ServerId, _KeptServer] = {}
        self._timer: asyncio.TimerHandle | None = None
        link.set_handler(PlaceRequest, self.request_received)
        link.set_handler(PlaceRelease, self.release_received)

    def stop(self) -> None:
        """Stop the timer; requests are not answered any more."""
        if self._timer is not None:
            self._timer.cancel()
        self._kept.clear()

    def request_received(self, request: PlaceRequest) -> None:
        """Grant a place, queue the request, or refuse it.

        A request for a server that this host does not keep is not answered: its host
        then sends without a place, and soon knows the keeper.
        """
        record = self._servers.get(request.server)
        if record is None or not self._keeps(record):
            return
        if not self._link.is_known(request.host):
            return
        now = self._clock()
        place = PlaceId(request.host, request.incarnation, request.number)
        kept = self._find(record, now)
        if request.is_in_use:
            kept.queue.confirm(place, now)
            return
        kept.queue.drop_earlier(request.host, request.incarnation)
        wish = WaitingRequest(
            request.rank,
            request.account,
            now + request.late_in,
            now + request.useless_in,
            request.tokens,
        )
        self._answer(record.id, kept, kept.queue.ask(place, wish, now))
        self._notify(record.id, kept, now)
        self._arm()

    def release_received(self, release: PlaceRelease) -> None:
        """Free a place, or withdraw a request."""
        kept = self._kept.get(release.server)
        if kept is None:
            return
        if release.was_rejected:
            self._metrics.count_place("rejected")
        place = PlaceId(release.host, release.incarnation, release.number)
        answers = kept.queue.release(
            place,
            self._clock(),
            was_rejected=release.was_rejected,
            load=release.load,
        )
        self._answer(release.server, kept, answers)

    def _keeps(self, record: ServerRecord) -> bool:
        is_own = self._link.keeper(record) == self._link.own.host
        return is_own and record.accepts_requests

    def _find(self, record: ServerRecord, now: float) -> _KeptServer:
        kept = self._kept.get(record.id)
        if kept is None or kept.started_at != record.entry.started_at:
            assumed = round(record.load.requests(self._now()))
            room = ServerRoom.from_capacity(record.entry.slots, record.service.engine)
            tokens = record.load.tokens(self._now())
            queue = PlaceQueue(room, assumed, now, tokens)
            kept = _KeptServer(queue, record.entry.started_at, now)
            self._kept[record.id] = kept
            logger.info(
                "keeping the places of a server; %d assumed to be taken",
                assumed,
                extra={"server": record.id},
            )
        return kept

    def _answer(
        self, server: ServerId, kept: _KeptServer, answers: Iterable[PlaceAnswer]
    ) -> None:
        is_contended = kept.queue.is_contended(self._clock())
        for answer in answers:
            if answer.outcome is PlaceOutcome.NONE_IN_TIME:
                kept.refused += 1
            host, incarnation, number = answer.place
            grant = PlaceGrant(
                self._link.own.host,
                incarnation,
                number,
                server,
                answer.outcome,
                answer.seconds,
                is_contended,
            )
            self._link.send(host, grant)

    def _notify(self, server: ServerId, kept: _KeptServer, now: float) -> None:
        """Tell all hosts that they have to ask, so that none sends without a place."""
        if not kept.queue.is_contended(now):
            kept.noticed_at = None
            return
        if kept.noticed_at is not None and now - kept.noticed_at < _NOTICE_SECONDS:
            return
        if kept.noticed_at is None:
            logger.info("server is contended", extra={"server": server})
        kept.noticed_at = now
        own = self._link.own.host
        notice = PlaceGrant(own, 0, 0, server, PlaceOutcome.NOTICE, 0.0, True)
        self._link.send_to_all(notice)

    def _arm(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self._clock()
        for server, kept in list(self._kept.items()):
            self._advance(server, kept, now)
        waiting = sum(kept.queue.waiting for kept in self._kept.values())
        self._metrics.set_state("places_waiting", waiting)
        if self._kept:
            self._arm()

    def _advance(self, server: ServerId, kept: _KeptServer, now: float) -> None:
        queue = kept.queue
        record = self._servers.get(server)
        if record is None or not self._keeps(record):
            logger.info("no longer keeping places", extra={"server": server})
            self._answer(server, kept, queue.refuse_all(now))
            del self._kept[server]
            return
        self._answer(server, kept, queue.advance(now))
        self._answer(server, kept, queue.repeat_grants(now))
        if queue.waiting:
            self._answer(server, kept, queue.refuse_hopeless(now))
        self._log(server, kept, now)
        if queue.waiting or queue.granted or queue.is_contended(now):
            self._notify(server, kept, now)
        else:
            logger.info("server is no longer contended", extra={"server": server})
            del self._kept[server]

    def _log(self, server: ServerId, kept: _KeptServer, now: float) -> None:
        if now - kept.logged_at < _LOG_SECONDS:
            return
        kept.logged_at = now
        expired = kept.queue.expired - kept.expired
        if kept.refused or expired:
            logger.info(
                "places of the last %.0f s: %d requests refused, %d places not given"
                " back by their hosts; now %d in use, %d requests wait",
                _LOG_SECONDS,
                kept.refused,
                expired,
                kept.queue.granted,
                kept.queue.waiting,
                extra={"server": server},
            )
        kept.refused = 0
        kept.expired = kept.queue.expired
