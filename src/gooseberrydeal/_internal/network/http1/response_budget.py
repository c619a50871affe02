"""Limit how many bytes besides its body a server may send in one response."""

from typing import Final

from gooseberrydeal._internal.network.http1.framing import framing_allowance

# Status line, fields and interim responses together.
MAX_HEAD_BYTES: Final = 32_768
MAX_REASON_BYTES: Final = 1_024
MAX_FIELDS: Final = 256
MAX_INTERIM_RESPONSES: Final = 16


class ResponseBudget:
    """Count the parts of one response and tell which of them exceeds its limit."""

    def __init__(self) -> None:
        self._received = 0
        self._body = 0
        self._reason = 0
        self._fields = 0
        self._interim = 0
        self._is_head_complete = False

    def count_received(self, length: int) -> None:
        """Count bytes of any part."""
        self._received += length

    def count_body(self, length: int) -> None:
        """Count bytes of the body, which are not limited here."""
        self._body += length

    def count_reason(self, length: int) -> None:
        """Count bytes of a status line's reason phrase."""
        self._reason += length

    def count_field(self) -> None:
        """Count a header field or a trailer field."""
        self._fields += 1

    def count_interim(self) -> None:
        """Count an interim (1xx) response."""
        self._interim += 1

    def complete_head(self) -> None:
        """Note that the final response's head is complete."""
        self._is_head_complete = True

    def excess(self) -> str | None:
        """Return which limit the response exceeds, ``None`` if it exceeds none."""
        overhead = self._received - self._body
        if self._reason > MAX_REASON_BYTES:
            return f"its status lines have over {MAX_REASON_BYTES} bytes"
        if self._fields > MAX_FIELDS:
            return f"it has over {MAX_FIELDS} fields"
        if self._interim > MAX_INTERIM_RESPONSES:
            return f"it has over {MAX_INTERIM_RESPONSES} interim responses"
        if not self._is_head_complete:
            if overhead > MAX_HEAD_BYTES:
                return f"its head has over {MAX_HEAD_BYTES} bytes"
            return None
        allowed = framing_allowance(self._body)
        if overhead > MAX_HEAD_BYTES + allowed:
            return f"its chunks and trailers have over {allowed} bytes besides the body"
        return None
