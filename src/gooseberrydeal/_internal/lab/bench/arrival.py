"""Describe a request of an experiment."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Arrival:
    """Say when a request is sent, in seconds from the start, and what it asks."""

    at: float
    adapter: int
    tokens: int
    work_class: str = "short"
    operation: str = ""
