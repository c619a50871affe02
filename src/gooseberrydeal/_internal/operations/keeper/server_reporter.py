"""Report a server when there is news of it."""

from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.models.messages.copy_report import CopyReport
from gooseberrydeal._internal.models.messages.server_report import ServerReport
from gooseberrydeal._internal.models.messages.slots_report import SlotsReport

_REPORT_AGAIN_SECONDS: Final = 5.0


class ServerReporter:
    """Number the reports of one ownership, and leave out those without news."""

    def __init__(self, server: str, epoch: int) -> None:
        self._server = server
        self._epoch = epoch
        self._sequence = 0
        self._copies: tuple[CopyReport, ...] | None = None
        self._last: ServerReport | None = None
        self._last_at = 0.0

    def report(self, draft: ServerReport, now: float) -> ServerReport | None:
        """Return the draft with its number, if it has news or the last one is old."""
        last = self._last
        is_same = last is not None and replace(draft, sequence=last.sequence) == last
        if is_same and now - self._last_at < _REPORT_AGAIN_SECONDS:
            return None
        self._sequence += 1
        self._last = replace(draft, sequence=self._sequence)
        self._last_at = now
        return self._last

    def slots(self, copies: tuple[CopyReport, ...]) -> SlotsReport | None:
        """Return a report of the adapters, if they have changed."""
        if copies == self._copies:
            return None
        self._copies = copies
        self._sequence += 1
        return SlotsReport(self._server, self._epoch, self._sequence, copies)
