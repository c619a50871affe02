"""Define the report of the adapters on a backend server."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.messages.copy_report import CopyReport


@dataclass(frozen=True, slots=True)
class SlotsReport:
    """Report the adapter copies on a server; a higher ``(epoch, sequence)`` is newer.

    This is separate from the report of the server's load because adapter loads and
    evictions are rarer than requests by orders of magnitude.
    """

    server: str
    epoch: int
    sequence: int
    copies: tuple[CopyReport, ...]
