"""Learn how many prompt tokens a step of an engine reads."""

from collections import deque
from typing import Final

# Prompts that fill several steps meet about one stream in ten.
_QUANTILE: Final = 0.97
_WINDOW: Final = 400
# With fewer streams than this the longest gaps may not have occurred yet.
_MIN_STREAMS: Final = 60
_RECOMPUTE_AFTER_STREAMS: Final = 10
# The steps of a gap read as much as they can if what two successive gaps read exceeds
# what one reads by more than this.
_MIN_EXCESS: Final = 1.2
# The smallest and the largest number that is plausible: engines are known that read
# 1,024 and 2,048. Less is found in traffic with few long prompts, more in slow moments.
_MIN_STEP_TOKENS: Final = 900.0
_MAX_STEP_TOKENS: Final = 2_048.0


class StepTokens:
    """Compare the prompt tokens read in the longest gaps and in pairs of gaps.

    While an engine reads a prompt that fits into the steps between two events, a gap
    tells nothing of the most that a step reads. If prompts regularly go on in the next
    gap, the longest gaps are those in which each step read as much as it could.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=_WINDOW)
        self._since = 0
        self._estimate: float | None = None

    @property
    def estimate(self) -> float | None:
        """Return the prompt tokens that a step reads at most, ``None`` if unknown."""
        return self._estimate

    def add(self, gap_tokens: float, pair_tokens: float) -> None:
        """Add the most prompt tokens per step read in a gap and in two, of a stream.

        Those of two gaps are per step of one of them, so up to twice those of one.
        """
        self._samples.append((gap_tokens, pair_tokens))
        self._since += 1
        is_due = self._since >= _RECOMPUTE_AFTER_STREAMS
        if is_due and len(self._samples) >= _MIN_STREAMS:
            self._since = 0
            gap = _high([gap for gap, _ in self._samples])
            pair = _high([pair for _, pair in self._samples])
            # A known figure holds until another is found: traffic without long prompts
            # does not make steps shorter.
            if pair > gap * _MIN_EXCESS and gap >= _MIN_STEP_TOKENS:
                self._estimate = min(_MAX_STEP_TOKENS, gap)

    def clear(self) -> None:
        """Forget all samples."""
        self._samples.clear()
        self._since = 0
        self._estimate = None


def _high(values: list[float]) -> float:
    return sorted(values)[int(len(values) * _QUANTILE)]
