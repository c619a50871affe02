"""Run each request that may crash servers on a server without other such requests."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.ids import RequestId, ServerId, ServiceName
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.isolation_notice import (
    IsolationNotice,
    IsolationState,
)
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature
from gooseberrydeal._internal.models.routing.route import RequestKind
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.crash_history import CrashHistory
from gooseberrydeal._internal.policy.isolation_turns import IsolationTurns, Turn
from gooseberrydeal._internal.policy.request_identity import RequestIdentity

logger = logging.getLogger(__name__)

# A stream is shown to be harmless only once it is being answered, and many streams are
# at a server when it crashes. Isolating all of them would take longer than their
# callers wait, so only those that were at this many crashes are isolated.
_MIN_STREAM_CRASHES: Final = 2
# Longer than a datagram takes to all hosts, so that of two hosts that claim a run at
# the same time both know of the other before either begins.
_CLAIM_SECONDS: Final = 0.025
_POLL_SECONDS: Final = 0.02
# A crash may be found this long after the connection was lost.
_LATE_VERDICT_SECONDS: Final = 10.0
_COUNT_INTERVAL_SECONDS: Final = 1.0
_NUMBER_BITS: Final = 62


@dataclass(slots=True)
class _OwnRun:
    notice: IsolationNotice
    ended_at: float | None = None


class SuspectIsolation:
    """Isolate the suspects among this host's requests, in turn with the other hosts.

    There is no host in charge: each announces a run to all, waits until it would have
    heard of others, and lets the one with the lowest number go first. Hosts that are
    cut off from each other take turns among themselves.
    """

    def __init__(
        self,
        membership: HostMembership,
        turns: IsolationTurns,
        history: CrashHistory,
        servers: ServerTable,
        announce: Callable[[IsolationNotice], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._turns = turns
        self._history = history
        self._servers = servers
        self._announce = announce
        self._clock = clock
        self._rng = rng
        self._own: dict[RequestId, _OwnRun] = {}

    async def run(self) -> None:
        """Count the available servers periodically, until cancelled."""
        while True:
            counts: dict[ServiceName, int] = {}
            for record in self._servers.records:
                service = record.entry.service
                counts[service] = counts.get(service, 0) + int(
                    self._is_available(record)
                )
            for service, count in counts.items():
                self._turns.note_servers(service, count, self._clock())
            await asyncio.sleep(_COUNT_INTERVAL_SECONDS)

    def received(self, notice: IsolationNotice) -> None:
        """Record a notice of another host."""
        self._turns.note(notice, self._clock())

    def must_isolate(self, request: RoutedRequest, identity: RequestIdentity) -> bool:
        """Return whether a request may only run alone."""
        return bool(self._suspected(request, identity))

    def _suspected(
        self, request: RoutedRequest, identity: RequestIdentity
    ) -> tuple[RequestFeature, ...]:
        """Return the features because of which a request may only run alone."""
        crashes = self._history.isolation_level(identity)
        is_stream = request.route.kind is RequestKind.STREAMING
        if crashes >= (_MIN_STREAM_CRASHES if is_stream else 1):
            known = identity.isolation_features
            return tuple(item for item in known if self._history.crash_count(item))
        part = self._history.suspected_part(identity)
        return () if part is None else (part,)

    async def wait_for_turn(
        self, request: RoutedRequest, identity: RequestIdentity
    ) -> Turn:
        """Wait while other isolated runs end, for the target latency at most."""
        give_up_at = request.arrived_at + request.route.target_latency
        while features := self._suspected(request, identity):
            turn = self._turns.turn(
                request.service,
                features,
                self._available(request.service),
                self._clock(),
                is_first_suspicion=self._is_first_suspicion(identity),
            )
            if turn is not Turn.BUSY or self._clock() >= give_up_at:
                return turn
            await asyncio.sleep(_POLL_SECONDS)
        return Turn.FREE

    async def claim(
        self, request: RoutedRequest, identity: RequestIdentity, server: ServerId
    ) -> bool:
        """Announce an isolated run; return whether no other one goes first."""
        notice = IsolationNotice(
            self._membership.host,
            self._rng.getrandbits(_NUMBER_BITS),
            request.service,
            server,
            self._suspected(request, identity),
            IsolationState.CLAIMED,
        )
        self._own[identity.request_id] = _OwnRun(notice)
        self._tell(notice, IsolationState.CLAIMED)
        await asyncio.sleep(_CLAIM_SECONDS)
        if self._turns.goes_first(
            notice.number,
            request.service,
            self._available(request.service),
            self._clock(),
            is_first_suspicion=self._is_first_suspicion(identity),
        ):
            logger.info(
                "running alone, since servers crashed while it was there",
                extra={"request_id": identity.request_id, "server": server},
            )
            return True
        self.finish(identity.request_id)
        return False

    def isolated_features(
        self, request: RequestId, server: ServerId
    ) -> tuple[RequestFeature, ...]:
        """Return the suspected features of a request that ran alone on a server.

        A whole request is suspected rather than what it shares with others.
        """
        own = self._own.get(request)
        if own is None or own.notice.server != server:
            return ()
        return own.notice.features[:1]

    def server_crashed(self, server: ServerId) -> None:
        """Record that this or another host found that a server crashed."""
        self._turns.note_crash(server, self._clock())

    def note_crash(self, request: RequestId) -> None:
        """Record that an isolated request crashed its server."""
        self._end(request, IsolationState.CRASHED)

    def finish(self, request: RequestId, *, is_undecided: bool = False) -> None:
        """Record the end of an isolated run, if the request was in one.

        With ``is_undecided``, the run lost its connection, and the request is held
        until it is known whether the server crashed.
        """
        own = self._own.get(request)
        if own is None or own.ended_at is not None:
            return
        if not is_undecided:
            self._end(request, IsolationState.ENDED)
            return
        now = self._clock()
        own.ended_at = now
        self._tell(own.notice, IsolationState.UNDECIDED)
        for key, run in list(self._own.items()):
            if run.ended_at is not None and now - run.ended_at > _LATE_VERDICT_SECONDS:
                del self._own[key]

    def _end(self, request: RequestId, state: IsolationState) -> None:
        own = self._own.pop(request, None)
        if own is not None:
            self._tell(own.notice, state)

    def _tell(self, notice: IsolationNotice, state: IsolationState) -> None:
        told = IsolationNotice(
            notice.host,
            notice.number,
            notice.service,
            notice.server,
            notice.features,
            state,
        )
        self._turns.note(told, self._clock())
        self._announce(told)

    def _is_first_suspicion(self, identity: RequestIdentity) -> bool:
        return self._history.isolation_level(identity) == 1

    def _available(self, service: ServiceName) -> int:
        return sum(map(self._is_available, self._servers.of_service(service)))

    def _is_available(self, record: ServerRecord) -> bool:
        return (
            record.accepts_requests
            and not record.health.is_unreachable
            and not self._turns.has_crashed(record.id, self._clock())
        )
