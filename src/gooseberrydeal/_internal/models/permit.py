"""Describe the right to start one load."""

from dataclasses import dataclass


@dataclass(slots=True)
class Permit:
    """Allow one load at a time; ``ready_at`` is when it may be used again.

    A borrowed permit may be used once, until ``expires_at``.
    """

    ready_at: float
    in_use: bool = False
    expires_at: float | None = None
