"""Turn observed responses into samples of an engine's figures."""

import math
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from gooseberrydeal._internal.models.routing.speed_observation import SpeedObservation

# Waits for fewer prompt tokens consist mostly of steps and of the way to the server.
_MIN_PROMPT_TOKENS: Final = 100
# A longer wait counts as much as one for this many tokens.
_MAX_WEIGHT_TOKENS: Final = 2_048
# A prefill takes at least this part of the wait, whatever steps are assumed to take.
_MIN_PREFILL_FRACTION: Final = 0.1


# A stream whose steps took this much longer than the engine's usual ones met a slow
# moment.
_MAX_STEP_RATIO: Final = 1.25


@dataclass(frozen=True, slots=True)
class EngineSamples:
    """Hold what one response shows of its engine's figures, ``None`` if nothing.

    Figures are divided by the time that the engine's steps take relative to the usual
    ones of its service. ``wait_seconds`` is that for ``prompt_tokens`` without
    the steps beyond the first, and
    ``seconds_per_prompt_token`` what it shows. ``gap_tokens`` is the number of prompt
    tokens per step of the longest gap, ``pair_tokens`` that of two successive gaps.
    """

    prompt_tokens: int
    wait_seconds: float | None
    seconds_per_prompt_token: float | None
    gap_tokens: float
    pair_tokens: float | None

    @classmethod
    def from_observation(
        cls,
        item: SpeedObservation,
        usual: EngineSpeed,
        delay_steps: float,
        scale: float,
        *,
        is_slow: bool,
    ) -> "EngineSamples":
        """Return the samples; the engine's steps take ``scale`` times the usual ones.

        ``delay_steps`` is the part of a wait that does not depend on the prompts. With
        ``is_slow``, the times say nothing of the engine's lasting speed.
        """
        step = usual.generation_step_seconds(item.requests)
        wait = prefill = pair_tokens = None
        gap_tokens = 0.0
        if item.prompt_tokens >= _MIN_PROMPT_TOKENS and item.wait_seconds:
            wait = None if is_slow else item.wait_seconds / scale
        if wait is not None:
            # The first step is part of the delay.
            steps = math.ceil(item.prompt_tokens / usual.step_tokens) - 1
            wait = max(wait - steps * step, wait * _MIN_PREFILL_FRACTION)
            prefill_seconds = max(
                wait - delay_steps * usual.step_seconds, wait * _MIN_PREFILL_FRACTION
            )
            prefill = prefill_seconds / item.prompt_tokens
        if item.longest_pair_seconds and not is_slow:
            excess = max(0.0, item.longest_step_seconds / scale - step)
            gap_tokens = excess / usual.seconds_per_prompt_token
            excess = max(0.0, item.longest_pair_seconds / scale - 2 * step)
            pair_tokens = excess / usual.seconds_per_prompt_token
        return cls(item.prompt_tokens, wait, prefill, gap_tokens, pair_tokens)

    @staticmethod
    def is_slow(item: SpeedObservation, usual: EngineSpeed, scale: float) -> bool:
        """Return whether a stream's steps took longer than the engine's usual ones."""
        step = usual.generation_step_seconds(item.requests) * scale
        return item.step_seconds > step * _MAX_STEP_RATIO

    @property
    def weight(self) -> int:
        """Return how often the prefill time per token counts."""
        return min(self.prompt_tokens, _MAX_WEIGHT_TOKENS)
