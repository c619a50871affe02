"""Count the requests of this host that use an adapter copy."""

from dataclasses import dataclass


@dataclass(slots=True)
class CopyCounts:
    """Hold how many requests use a copy now, and how many have started on it."""

    in_flight: int = 0
    started: int = 0
