"""Split a server-sent event stream at event boundaries."""

import re
from collections.abc import Callable
from typing import Final

_EVENT_ID: Final = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)
_EVENT_TERMINATORS: Final = (b"\n\n", b"\r\n\r\n")
_MAX_EVENT_BYTES: Final = 1_048_576
_MAX_ID_DIGITS: Final = 18


class EventSplitter:
    """Buffer incomplete events, so that a broken stream ends between two events."""

    def __init__(self) -> None:
        self._incomplete = b""
        self._last_id: str | None = None
        self._resumed_after: str | None = None
        self._repeats_events = False
        self._on_events: Callable[[int], None] | None = None

    @property
    def last_event_id(self) -> str | None:
        """Return the last id among complete events, ``None`` if there was none."""
        return self._last_id

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun that is not complete."""
        return bool(self._incomplete.strip(b"\r\n"))

    @property
    def repeats_events(self) -> bool:
        """Return whether the stream did not go on where it was to be resumed."""
        return self._repeats_events

    @property
    def is_overfull(self) -> bool:
        """Return whether the incomplete event is longer than events may be."""
        return len(self._incomplete) > _MAX_EVENT_BYTES

    def set_listener(self, on_events: Callable[[int], None] | None) -> None:
        """Call a function with the number of events that each read completes."""
        self._on_events = on_events

    def resume_after(self, event_id: str) -> None:
        """Expect the next event to be later than the one with this id."""
        self._resumed_after = event_id
        self._repeats_events = False

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those that form complete events.

        Nothing is returned of a stream that repeats events.
        """
        data = self._incomplete + data
        end = max(_end_of_last(data, terminator) for terminator in _EVENT_TERMINATORS)
        whole, self._incomplete = data[:end], data[end:]
        ids = _EVENT_ID.findall(whole)
        if ids and self._resumed_after is not None:
            self._repeats_events = not _is_later(_decode(ids[0]), self._resumed_after)
            self._resumed_after = None
        if self._repeats_events:
            return b""
        if ids:
            self._last_id = _decode(ids[-1])
        if whole and self._on_events is not None:
            self._on_events(sum(map(whole.count, _EVENT_TERMINATORS)))
        return whole

    def rest(self) -> bytes:
        """Return the buffered bytes of an incomplete event and clear the buffer."""
        rest, self._incomplete = self._incomplete, b""
        return rest


def _decode(event_id: bytes) -> str:
    return event_id.decode("latin-1").strip()


def _is_later(event_id: str, other: str) -> bool:
    """Return whether an id is later, as far as can be told: ids may be no numbers."""
    is_numeric = all(
        item.isascii() and item.isdigit() and len(item) <= _MAX_ID_DIGITS
        for item in (event_id, other)
    )
    return int(event_id) > int(other) if is_numeric else event_id != other


def _end_of_last(data: bytes, terminator: bytes) -> int:
    index = data.rfind(terminator)
    return 0 if index < 0 else index + len(terminator)
