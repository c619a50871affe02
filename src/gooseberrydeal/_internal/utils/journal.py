"""Keep recent events in memory for ``gooseberry-ctl explain``."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.utils.clock import Clock

_MAX_EVENTS: Final = 4096


@dataclass(frozen=True, slots=True)
class _Event:
    time: float
    subjects: frozenset[str]
    text: str


class Journal:
    """Keep the most recent events with the subjects that they concern.

    Subjects are the names of adapters and the ids of requests.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._events: deque[_Event] = deque(maxlen=_MAX_EVENTS)

    def note(self, text: str, *subjects: str) -> None:
        """Record an event and the subjects that it concerns."""
        event = _Event(self._clock.wall(), frozenset(subjects), text)
        self._events.append(event)

    def events_about(self, subject: str) -> tuple[str, ...]:
        """Return the events on a subject with their Unix times, oldest first."""
        return tuple(
            f"{event.time:.3f} {event.text}"
            for event in self._events
            if subject in event.subjects
        )
