"""Keep the events of a stream whole."""

import re
from typing import Final

_EVENT_ID: Final = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)
_ENDS: Final = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Hold back the begun event, so that a broken stream ends between events."""

    def __init__(self) -> None:
        self._rest = b""
        self._last_id: str | None = None

    @property
    def last_id(self) -> str | None:
        """Return the id of the last whole event."""
        return self._last_id

    def feed(self, data: bytes) -> bytes:
        """Return the whole events."""
        data = self._rest + data
        end = max(_after(data, mark) for mark in _ENDS)
        whole, self._rest = data[:end], data[end:]
        ids = _EVENT_ID.findall(whole)
        if ids:
            self._last_id = ids[-1].decode("latin-1").strip()
        return whole

    def rest(self) -> bytes:
        """Return what follows the last whole event, and forget it."""
        rest, self._rest = self._rest, b""
        return rest


def _after(data: bytes, mark: bytes) -> int:
    found = data.rfind(mark)
    return 0 if found < 0 else found + len(mark)
