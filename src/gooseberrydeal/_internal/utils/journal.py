"""Keep recent events for explanations."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.utils.clock import Clock

_KEPT: Final = 4096


@dataclass(frozen=True, slots=True)
class _Event:
    time: float
    subjects: frozenset[str]
    text: str


class Journal:
    """Remember the last events by the things that they concern."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._events: deque[_Event] = deque(maxlen=_KEPT)

    def note(self, text: str, *subjects: str) -> None:
        """Add an event."""
        event = _Event(self._clock.wall(), frozenset(subjects), text)
        self._events.append(event)

    def about(self, subject: str) -> tuple[str, ...]:
        """Return the events that concern a subject, the oldest first."""
        return tuple(
            f"{event.time:.3f} {event.text}"
            for event in self._events
            if subject in event.subjects
        )
