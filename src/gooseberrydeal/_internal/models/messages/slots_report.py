"""Describe which adapters a backend server holds."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.messages.copy_report import CopyReport


@dataclass(frozen=True, slots=True)
class SlotsReport:
    """Tell the copies on a server; a higher ``(epoch, sequence)`` is newer.

    It is sent apart from the server's load, since loads and evictions are rarer than
    requests by orders of magnitude.
    """

    server: str
    epoch: int
    sequence: int
    copies: tuple[CopyReport, ...]
