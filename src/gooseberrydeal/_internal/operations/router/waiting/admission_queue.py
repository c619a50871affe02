"""Wake the requests that wait for the engines of a service, the most urgent first."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.waiting.waiting_elsewhere import (
    WaitingElsewhere,
)
from gooseberrydeal._internal.policy.waiting.admission_order import AdmissionOrder
from gooseberrydeal._internal.policy.waiting.hold_back import (
    hold_fraction,
    may_hold_back,
)
from gooseberrydeal._internal.policy.waiting.retry_jitter import jittered_retry_after
from gooseberrydeal._internal.policy.waiting.waiting_request import WaitingRequest

logger = logging.getLogger(__name__)

# The most urgent requests check again after this time if nothing wakes them before.
_CHECK_SECONDS: Final = 0.06
# Bounds the checks while requests end one after the other.
_MIN_CHECK_SECONDS: Final = 0.01
# A request that is never among those to check does so after this time.
_MAX_WAIT_SECONDS: Final = 0.5
# At most one line per service and this time says how many requests wait.
_LOG_SECONDS: Final = 5.0


class AdmissionTicket:
    """Identify a waiting request; its queue wakes whoever waits for it."""


class AdmissionQueue:
    """Hold the requests of one service that wait at this host."""

    def __init__(
        self,
        service: ServiceName,
        order: AdmissionOrder[AdmissionTicket],
        elsewhere: WaitingElsewhere,
        signal: ChangeSignal,
        metrics: RouterMetrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._service = service
        self._elsewhere = elsewhere
        self._signal = signal
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._order = order
        self._timer: asyncio.TimerHandle | None = None
        self._checked_at = 0.0
        self._logged_at = 0.0
        self._sent = 0
        self._refused = 0

    @property
    def order(self) -> AdmissionOrder[AdmissionTicket]:
        """Return the order of the requests that wait."""
        return self._order

    def must_hold_back(
        self, request: WaitingRequest, record: ServerRecord, since: float
    ) -> bool:
        """Return whether a request leaves an engine's place to others, elsewhere.

        The request arrived at ``since``.
        """
        now = self._clock()
        more_urgent = self._elsewhere.more_urgent(request.rank, now)
        if not more_urgent or self._order.is_owed(request.rank):
            return False
        utilisation = record.load.requests(now) / max(1, record.entry.slots)
        if not may_hold_back(utilisation, since, request.useless_at, now):
            return False
        own = self._order.sent_per_second(now) * self._elsewhere.hosts
        is_held = self._rng.random() < hold_fraction(more_urgent, own)
        if is_held:
            self._metrics.count_wait("held_back")
        return is_held

    def enter(self, ticket: AdmissionTicket, request: WaitingRequest) -> None:
        """Add a request that waits for capacity."""
        self._order.enter(ticket, request, self._clock())
        self._check_in(_CHECK_SECONDS)

    def note_sent(self, request: WaitingRequest, *, has_waited: bool) -> None:
        """Record that a request was sent, and let the next ones check for room."""
        self._order.note_sent(request, self._clock())
        if has_waited:
            self._sent += 1
            self._metrics.count_wait("sent")

    def refuse(self, request_id: str) -> float:
        """Return the ``Retry-After`` of a request that is refused now."""
        now = self._clock()
        self._refused += 1
        self._metrics.count_wait("refused")
        seconds = self._order.drain_seconds(now)
        logger.info(
            "not sent in time: %d other requests wait for service %s, which are"
            " expected to leave within %.1f s",
            max(0, len(self._order.waiting) - 1),
            self._service,
            seconds,
            extra={"request_id": request_id},
        )
        return jittered_retry_after(seconds, self._rng)

    def capacity_freed(self) -> None:
        """Let the most urgent requests check, as an engine may have room."""
        if self._order.waiting:
            since = self._clock() - self._checked_at
            self._check_in(max(0.0, _MIN_CHECK_SECONDS - since))

    async def wait(
        self, ticket: AdmissionTicket, copy: AdapterCopyKey, until: float
    ) -> None:
        """Wait for the request's turn or a change of its adapter."""
        seconds = min(_MAX_WAIT_SECONDS, until - self._clock())
        await self._signal.wait_for_any((ticket, copy), max(0.0, seconds))

    def _check_in(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + seconds:
                return
            self._timer.cancel()
        self._timer = loop.call_later(seconds, self._check)

    def _check(self) -> None:
        self._timer = None
        now = self._clock()
        self._checked_at = now
        # The tasks run in the order in which they are woken, and decide without a wait.
        for ticket in self._order.next_to_check(now):
            self._signal.notify(ticket)
        self._log(now)
        if self._order.waiting:
            self._check_in(_CHECK_SECONDS)

    def _log(self, now: float) -> None:
        if now - self._logged_at < _LOG_SECONDS:
            return
        self._logged_at = now
        by_rank = self._order.by_rank()
        self._metrics.set_state(f"waiting_{self._service}", sum(by_rank.values()))
        if by_rank or self._refused:
            logger.info(
                "queue of service %s: waiting by rank %s; since the last such line %d"
                " were sent after a wait and %d refused",
                self._service,
                dict(sorted(by_rank.items())),
                self._sent,
                self._refused,
            )
        self._sent = self._refused = 0
