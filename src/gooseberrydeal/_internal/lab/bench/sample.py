"""Describe the outcome of a request that an experiment sent."""

from dataclasses import dataclass

from gooseberrydeal._internal.lab.bench.arrival import Arrival
from gooseberrydeal._internal.lab.lab_client import CallResult


@dataclass(frozen=True, slots=True)
class Sample:
    """Pair a request with its result; ``late_seconds`` is its delay when sent.

    Times count from when the request was due, so that a delayed sender doesn't hide
    latency (coordinated omission).
    """

    arrival: Arrival
    result: CallResult
    late_seconds: float

    @property
    def first_seconds(self) -> float | None:
        """Return the seconds from the due time to the first token."""
        first = self.result.first_seconds
        return None if first is None else first + self.late_seconds

    @property
    def total_seconds(self) -> float:
        """Return the seconds from the due time to the end of the answer."""
        return self.result.total_seconds + self.late_seconds
