"""Record the times of the stages of one request."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.routing.route import Route
from gooseberrydeal._internal.operations.router.late_cause import LateCause


@dataclass(slots=True)
class ServeTimes:
    """Hold monotonic clock times and durations in seconds.

    A time of 0 means that the event has not happened. ``sent_at`` is the time of the
    latest send, ``head_at`` that of the response head. ``load_wait`` is the part of the
    wait before the sends in which the request's adapter was being loaded, and
    ``longest_pause`` the longest gap between two parts of the response.
    """

    arrived_at: float
    first_sent_at: float = 0.0
    sent_at: float = 0.0
    head_at: float = 0.0
    load_wait: float = 0.0
    longest_pause: float = 0.0

    def note_sent(self, now: float, load_wait: float) -> None:
        """Record a send, and how long the request waited for a load before it."""
        self.sent_at = now
        self.load_wait += load_wait
        if not self.first_sent_at:
            self.first_sent_at = now

    def note_pause(self, seconds: float) -> None:
        """Record the longest pause of an attempt's response, in seconds."""
        self.longest_pause = max(self.longest_pause, seconds)

    def late_cause(self, route: Route) -> LateCause | None:
        """Return the main cause of a late response, ``None`` if it was on time."""
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
        """Return the duration of each stage, as text for a log line."""
        return (
            f"first sent after {self.first_sent_at - self.arrived_at:.3f} s, of which"
            f" {self.load_wait:.3f} s waiting for an adapter load, last sent"
            f" {self.sent_at - self.first_sent_at:.3f} s later, response head"
            f" {self.head_at - self.sent_at:.3f} s after that, longest pause"
            f" {self.longest_pause:.3f} s"
        )
