"""Limit the prompt tokens that may await prefill at an engine."""

from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed

# Fraction of the permitted pause that the expected pause may take.
_PAUSE_MARGIN: Final = 0.9
# A prompt may wait for those before it for this fraction of its target latency.
_TARGET_FRACTION: Final = 0.4
# An engine with so many of its longest steps pending, or so many seconds of prefill, is
# busy until hosts hear of it again. What waits beyond that should wait at the hosts,
# where a more urgent request can still go first.
_BUSY_STEPS: Final = 2.0
_BUSY_SECONDS: Final = 0.1


@dataclass(frozen=True, slots=True)
class PrefillLimit:
    """Hold what a request asks of the engines that may serve it, times in seconds.

    Events of running streams may be at most ``longest_pause`` apart, without a limit
    if it is infinite. The request has ``prompt_tokens``, and is late after
    ``target_latency``.
    """

    longest_pause: float
    target_latency: float
    prompt_tokens: int = 0

    def pending_tokens(
        self, speed: EngineSpeed, event_tokens: int, slowdown: float
    ) -> float:
        """Return with how many pending tokens the prompt should not be added.

        Each step prefills queued prompts and generates one token for each stream, and
        an event carries ``event_tokens`` tokens. Where all steps of an event may be the
        longest ones, only the target latency limits the queue; otherwise the prompts of
        a step must leave the event within the pause. Some engines read more in a step
        than was observed so far, so what is pending together with the prompt must fit
        into the steps of one event.
        """
        pause = self.longest_pause * _PAUSE_MARGIN / slowdown
        rate = speed.prompt_tokens_per_second
        per_step = (pause / event_tokens - speed.step_seconds) * rate
        per_step = max(1.0, per_step)
        if speed.longest_step_seconds * event_tokens > pause:
            return per_step
        per_event = (pause - speed.step_seconds * event_tokens) * rate
        by_target = self.target_latency * _TARGET_FRACTION / slowdown * rate
        busy = max(_BUSY_STEPS * speed.step_tokens, _BUSY_SECONDS * rate)
        return min(by_target, busy, max(per_step, per_event - self.prompt_tokens))
