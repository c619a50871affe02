"""Split a server-sent event stream at event boundaries."""

import re
from typing import Final

_EVENT_ID: Final = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)
_EVENT_TERMINATORS: Final = (b"\n\n", b"\r\n\r\n")
_MAX_EVENT_BYTES: Final = 1_048_576


class EventSplitter:
    """Buffer incomplete events, so that a broken stream ends between two events."""

    def __init__(self) -> None:
        self._incomplete = b""
        self._last_id: str | None = None

    @property
    def last_event_id(self) -> str | None:
        """Return the last id among complete events, ``None`` if there was none."""
        return self._last_id

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun that is not complete."""
        return bool(self._incomplete.strip(b"\r\n"))

    @property
    def is_overfull(self) -> bool:
        """Return whether the incomplete event is longer than events may be."""
        return len(self._incomplete) > _MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those that form complete events."""
        data = self._incomplete + data
        end = max(_end_of_last(data, terminator) for terminator in _EVENT_TERMINATORS)
        whole, self._incomplete = data[:end], data[end:]
        ids = _EVENT_ID.findall(whole)
        if ids:
            self._last_id = ids[-1].decode("latin-1").strip()
        return whole

    def rest(self) -> bytes:
        """Return the buffered bytes of an incomplete event and clear the buffer."""
        rest, self._incomplete = self._incomplete, b""
        return rest


def _end_of_last(data: bytes, terminator: bytes) -> int:
    index = data.rfind(terminator)
    return 0 if index < 0 else index + len(terminator)
