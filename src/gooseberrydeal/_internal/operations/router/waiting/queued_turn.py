"""Let a request wait in the queue of its service."""

from collections.abc import Callable

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.waiting.admission_queue import (
    AdmissionQueue,
    AdmissionTicket,
)
from gooseberrydeal._internal.operations.router.waiting.polled_turn import (
    latest_polled_send,
)
from gooseberrydeal._internal.policy.waiting.hold_back import HOLD_SECONDS
from gooseberrydeal._internal.policy.waiting.wait_limit import latest_send
from gooseberrydeal._internal.policy.waiting.waiting_request import WaitingRequest


class QueuedTurn:
    """Check when the queue says so, and give up once there is no chance left.

    A request that waits for the load of its adapter is not in the queue meanwhile.
    """

    def __init__(
        self,
        request: RoutedRequest,
        queue: AdmissionQueue,
        signal: ChangeSignal,
        clock: Callable[[], float],
    ) -> None:
        now = clock()
        self._arrived_at = request.arrived_at
        self._id = request.attributes.request_id
        self._queue = queue
        self._signal = signal
        self._clock = clock
        self._ticket = AdmissionTicket()
        ends_at = latest_send(request.route, request.arrived_at, request.deadline)
        if request.send_count:
            # Its caller may have waited for a server that failed.
            ends_at = min(ends_at, latest_polled_send(request, now))
        self._wish = WaitingRequest(
            request.rank,
            "" if request.account is None else str(request.account.name),
            request.arrived_at + request.route.target_latency,
            ends_at,
        )
        self._has_waited = False
        self._held_until = now

    @property
    def ends_at(self) -> float:
        """Return when the request is refused if no engine took it."""
        return self._wish.useless_at

    async def begin(self, copy: AdapterCopyKey) -> None:
        """Wait until the request, which has just arrived, may be checked."""
        if self._queue.order.must_yield(self._wish, self._clock()):
            self._queue.enter(self._ticket, self._wish)
            self._queue.capacity_freed()
            await self._queue.wait(self._ticket, copy, self.ends_at)

    def retry_after(self, now: float, *, is_loading: bool) -> float | None:
        """Return the ``Retry-After`` if the request is to be refused now."""
        is_over = now >= self.ends_at
        if not is_over and not is_loading:
            is_over = self._queue.order.is_hopeless(self._wish, now)
        return self._queue.refuse(self._id) if is_over else None

    async def wait(
        self, copy: AdapterCopyKey, seconds: float, *, is_loading: bool
    ) -> None:
        """Wait for the request's turn, or for ``seconds`` while the copy is loading."""
        self._has_waited = True
        if is_loading:
            self._queue.order.leave(self._ticket)
            seconds = min(seconds, self.ends_at - self._clock())
            await self._signal.wait(copy, max(0.0, seconds))
        else:
            self._queue.enter(self._ticket, self._wish)
            await self._queue.wait(self._ticket, copy, self.ends_at)

    def must_hold_back(self, record: ServerRecord) -> bool:
        """Return whether to leave an engine's place to more urgent requests."""
        now = self._clock()
        if now < self._held_until:
            return True
        is_held = self._queue.must_hold_back(self._wish, record, self._arrived_at)
        if is_held:
            self._held_until = now + HOLD_SECONDS
        return is_held

    def note_sent(self) -> None:
        """Record that an engine takes the request."""
        self._queue.order.leave(self._ticket)
        self._queue.note_sent(self._wish, has_waited=self._has_waited)

    def end(self) -> None:
        """Stop waiting, however the request ended."""
        self._queue.order.leave(self._ticket)
