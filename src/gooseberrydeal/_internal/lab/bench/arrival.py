"""Describe a request that an experiment sends."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describe a scheduled request.

    ``at`` is its time in seconds from the start of the run. A request with an
    ``operation`` calls the plain service instead of an adapter.
    """

    at: float
    adapter: int
    tokens: int
    work_class: str = "short"
    operation: str = ""
