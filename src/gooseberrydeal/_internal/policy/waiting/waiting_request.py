"""Describe a request that waits to be sent."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Hold what determines the order of waiting requests.

    Times are in seconds on one clock. A response that begins after ``late_at`` is late,
    and one that begins after ``useless_at`` comes too late for its caller. ``account``
    is empty without a client account. ``tokens`` is what the request may occupy of an
    engine's memory.
    """

    rank: int
    account: str
    late_at: float
    useless_at: float
    tokens: int = 0
