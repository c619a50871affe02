"""Define what one response shows of its engine's speed."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SpeedObservation:
    """Hold the timing of one stream, with the stated slowdown divided out.

    ``prompt_tokens`` awaited prefill when the request was sent, its own included, and
    ``wait_seconds`` is the time from then to the first event; both are 0 where the wait
    says nothing, as for a prompt that may be cached. ``requests`` were running.
    ``step_seconds`` is the usual time per generated token, ``longest_step_seconds``
    that of the longest gap between two events, and ``longest_pair_seconds`` that of the
    longest two successive gaps together. Each is 0 with too few events.
    """

    prompt_tokens: int
    wait_seconds: float
    requests: int
    step_seconds: float
    longest_step_seconds: float
    longest_pair_seconds: float
