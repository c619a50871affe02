"""Describe how the platform stand-in misbehaves."""

from dataclasses import dataclass, field


@dataclass
class PlatformFaults:
    """Hold switches that tests and experiments turn.

    ``delay_seconds`` slows each call. ``lost_answers`` counts the coming writes whose
    answer is lost after they took effect.
    """

    is_down: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0
    refused_writes: int = 0
    cut_clients: set[str] = field(default_factory=set)
