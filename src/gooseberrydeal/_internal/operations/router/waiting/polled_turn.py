"""Let a request check again and again, without regard to others."""

from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.eligible_servers import (
    OVERLOAD_RETRY_AFTER_SECONDS,
)
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord

# Requests wait for capacity or a load for at most this fraction of the caller's
# timeout. They are then refused as not run, while the caller still has time to retry.
_MAX_WAIT_FRACTION: Final = 0.5


def latest_polled_send(request: RoutedRequest, now: float) -> float:
    """Return until when a request that begins to wait now waits at most."""
    caller_timeout = min(
        request.deadline - request.arrived_at, request.route.caller_idle_timeout
    )
    return now + caller_timeout * _MAX_WAIT_FRACTION


class PolledTurn:
    """Check whenever the adapter's state changes, and at regular intervals.

    Designed for services with a single rank and enough places for all hosts.
    """

    def __init__(
        self, request: RoutedRequest, signal: ChangeSignal, now: float
    ) -> None:
        self._signal = signal
        self._ends_at = latest_polled_send(request, now)
        self._now = now

    @property
    def ends_at(self) -> float:
        """Return when the request is refused if no engine took it."""
        return self._ends_at

    async def begin(self, copy: AdapterCopyKey) -> None:
        """Do not wait for others."""

    def retry_after(self, now: float, *, is_loading: bool) -> float | None:
        """Return the ``Retry-After`` if the request is to be refused now."""
        self._now = now
        return OVERLOAD_RETRY_AFTER_SECONDS if now >= self._ends_at else None

    async def wait(
        self, copy: AdapterCopyKey, seconds: float, *, is_loading: bool
    ) -> None:
        """Wait for a change of the adapter, for ``seconds`` at most."""
        await self._signal.wait(copy, min(seconds, self._ends_at - self._now))

    def must_hold_back(self, record: ServerRecord) -> bool:
        """Return whether to leave an engine's place to more urgent requests."""
        return False

    def note_sent(self) -> None:
        """Do nothing: nobody waits for this request to be sent."""

    def end(self) -> None:
        """Do nothing: nothing is kept of the request."""
