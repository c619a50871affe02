"""Describe how an engine stand-in misbehaves."""

from dataclasses import dataclass, field


@dataclass
class EngineFaults:
    """Hold switches that tests and experiments turn.

    ``slowdown`` multiplies the time of each token. ``failing_loads`` counts the
    coming loads that fail. A prompt that contains ``crash_word`` crashes the engine.
    """

    slowdown: float = 1.0
    failing_loads: int = 0
    broken_copies: set[str] = field(default_factory=set)
    cut_streams: int = 0
    crossed_answers: int = 0
    silent_streams: int = 0
    crash_word: str = "CRASH-THE-ENGINE"
