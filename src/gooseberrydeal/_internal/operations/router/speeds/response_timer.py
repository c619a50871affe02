"""Time one stream for the speed of its engine."""

import math
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.routing.speed_observation import SpeedObservation
from gooseberrydeal._internal.operations.router.assignment import Assignment
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.policy.engine_choice import is_batch_full

# Gaps above this are no steps: the stream was silent, or this host was stopped.
_MAX_GAP_SECONDS: Final = 5.0
# Memory per stream; a long stream shows no more in its later gaps.
_MAX_GAPS: Final = 256


class ResponseTimer:
    """Record when a request was sent and when its events arrive.

    Created at the send, when the server's load includes the request. The caller tells
    it the slowdown that the response states, and asks for the observation at the end.
    """

    def __init__(
        self,
        assignment: Assignment,
        request: RoutedRequest,
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._sent_at = now = clock()
        self._record = record = assignment.record
        engine = record.service.engine
        self._event_tokens = 0 if engine is None else max(1, engine.event_tokens)
        rate = record.speed.current(now).prompt_tokens_per_second
        self._requests = record.load.requests(now)
        # A prompt with shared parts may be cached, a request beyond the batch waits for
        # a place, and a resumed stream repeats what was generated.
        is_telling = not (
            request.attributes.shared_prompt_parts
            or request.attributes.is_resumption
            or request.send_count > 1
            or is_batch_full(self._requests - 1.0, record.entry.slots)
        )
        self._prompt_tokens = 0
        if is_telling and request.attributes.prompt_tokens > 0:
            self._prompt_tokens = int(record.load.pending_prefill_tokens(now, rate))
        self._slowdown = 1.0
        self._first_at = math.inf
        self._last_at = math.inf
        self._gaps: list[float] = []

    def head_received(self, status: int, slowdown: float) -> None:
        """Note the slowdown that the response states, which is divided out."""
        self._slowdown = slowdown

    def events_received(self, count: int) -> None:
        """Record that ``count`` events were completed now."""
        now = self._clock()
        if self._first_at > now:
            self._first_at = now
        elif count and len(self._gaps) < _MAX_GAPS:
            gap = (now - self._last_at) / count
            if gap <= _MAX_GAP_SECONDS:
                self._gaps.append(gap)
        self._last_at = now

    def observation(self) -> SpeedObservation | None:
        """Return what the stream shows, ``None`` if nothing.

        The usual step is the lower quartile of the gaps, since many of the others hold
        steps that read prompts.
        """
        if not self._event_tokens or self._first_at == math.inf:
            return None
        scale = self._slowdown * self._event_tokens
        gaps = sorted(self._gaps)
        pairs = zip(self._gaps, self._gaps[1:], strict=False)
        wait = (self._first_at - self._sent_at) / self._slowdown
        return SpeedObservation(
            self._prompt_tokens,
            wait if self._prompt_tokens else 0.0,
            int(self._requests),
            gaps[len(gaps) // 4] / scale if gaps else 0.0,
            gaps[-1] / scale if gaps else 0.0,
            max((a + b for a, b in pairs), default=0.0) / scale,
        )

    def finish(self) -> None:
        """Add the observation to the estimate of the server's speed."""
        item = self.observation()
        if item is not None:
            self._record.speed.observe(item, self._clock())
