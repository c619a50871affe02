"""Describe what came of a request of an experiment."""

from dataclasses import dataclass

from gooseberrydeal._internal.lab.bench.arrival import Arrival
from gooseberrydeal._internal.lab.lab_client import CallResult


@dataclass(frozen=True, slots=True)
class Sample:
    """Join a request with its result; ``late`` is how late it was sent."""

    arrival: Arrival
    result: CallResult
    late: float

    @property
    def first_seconds(self) -> float | None:
        """Return the time to the first token from when it should have been sent."""
        first = self.result.first_seconds
        return None if first is None else first + self.late

    @property
    def total_seconds(self) -> float:
        """Return the time to the end from when it should have been sent."""
        return self.result.total_seconds + self.late
