"""Note how long the stages of a request took."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.routing.route import Route
from gooseberrydeal._internal.operations.router.late_cause import LateCause


@dataclass(slots=True)
class ServeTimes:
    """Hold monotonic times in seconds; 0 stands for what has not happened.

    ``load_wait`` is the part of the wait before the sends in which the request's
    adapter was being loaded.
    """

    arrived_at: float
    first_sent_at: float = 0.0
    sent_at: float = 0.0
    head_at: float = 0.0
    load_wait: float = 0.0
    longest_pause: float = 0.0

    def note_sent(self, now: float) -> None:
        """Note a send."""
        self.sent_at = now
        if not self.first_sent_at:
            self.first_sent_at = now

    def late_cause(self, route: Route) -> LateCause | None:
        """Return what took longest, ``None`` if the reply was on time."""
        if self.head_at - self.arrived_at > route.target_latency:
            stages = {
                LateCause.ADAPTER_LOAD: self.load_wait,
                LateCause.ENGINE_CAPACITY: (
                    self.first_sent_at - self.arrived_at - self.load_wait
                ),
                LateCause.FAILED_SENDS: self.sent_at - self.first_sent_at,
                LateCause.SERVER: self.head_at - self.sent_at,
            }
            return max(stages, key=lambda cause: stages[cause])
        if self.longest_pause > route.longest_pause:
            return LateCause.PAUSE
        return None

    def __str__(self) -> str:
        """Return the stages for a log line."""
        return (
            f"sent after {self.first_sent_at - self.arrived_at:.3f} s of which"
            f" {self.load_wait:.3f} s for a load, last sent"
            f" {self.sent_at - self.first_sent_at:.3f} s later, response"
            f" {self.head_at - self.sent_at:.3f} s after that, longest pause"
            f" {self.longest_pause:.3f} s"
        )
