"""Wait for the end of a response while its server may be silent or gone."""

from collections.abc import Awaitable, Callable
from typing import Final

from gooseberrydeal._internal.models.routing.route import Route
from gooseberrydeal._internal.operations.router.attempt import (
    SILENCE_RESOLUTION_SECONDS,
    Attempt,
)
from gooseberrydeal._internal.operations.router.attempt_outcome import AttemptOutcome

# A server is silent if it sends nothing for this multiple of the route's target
# latency, though for no less than the minimum. Another server may then take over.
_SILENCE_TARGET_LATENCIES: Final = 2.0
_MIN_SILENCE_SECONDS: Final = 0.3
# Once the caller's reply has begun, a server is checked after this fraction of it.
_FIRST_CHECK_FRACTION: Final = 0.5
_RECHECK_SECONDS: Final = 0.5
# A sound server may fall silent for about a second, even if it cannot be connected to
# meanwhile. A response that no other server can take over is not given up sooner.
_SOUND_SILENCE_SECONDS: Final = 1.5


class ResponseWait:
    """Wait for a response, and give it up only if that does not lose it.

    That is so if another server takes over, which ``take_over`` begins, or if the
    server is gone: ``is_gone`` tells whether it can't be reached, given since when
    nothing was received, in seconds of the loop's clock.
    """

    def __init__(
        self,
        attempt: Attempt,
        route: Route,
        take_over: Callable[[], bool],
        is_gone: Callable[[float], Awaitable[bool]],
    ) -> None:
        self._attempt = attempt
        self._silence = max(
            _MIN_SILENCE_SECONDS, _SILENCE_TARGET_LATENCIES * route.target_latency
        )
        # The reply may begin during the wait for the first check.
        first_check = self._silence * _FIRST_CHECK_FRACTION
        self._checks = sorted((first_check, self._silence, _SOUND_SILENCE_SECONDS))
        self._take_over = take_over
        self._is_gone = is_gone

    async def outcome(self) -> AttemptOutcome:
        """Return the outcome of the attempt, which may be given up."""
        attempt = self._attempt
        while True:
            outcome = await attempt.outcome_unless_silent(self._next_check())
            if outcome is not None:
                return outcome
            if self._is_silent_for(self._silence) and self._take_over():
                return attempt.give_up("another server takes over")
            if await self._is_server_gone():
                return attempt.give_up("the server can't be reached")

    def _next_check(self) -> float:
        """Return after how many seconds of silence to check the server next."""
        for seconds in self._checks:
            if not self._is_silent_for(seconds):
                return seconds
        return self._attempt.silent_seconds + _RECHECK_SECONDS

    def _is_silent_for(self, seconds: float) -> bool:
        return self._attempt.silent_seconds >= seconds - SILENCE_RESOLUTION_SECONDS

    async def _is_server_gone(self) -> bool:
        """Return whether a server is gone in the middle of the caller's reply."""
        attempt = self._attempt
        if not attempt.has_begun or not await self._is_gone(attempt.silent_since):
            return False
        return self._is_silent_for(_SOUND_SILENCE_SECONDS) and not attempt.is_ended
