"""Define the report of an adapter copy on a server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CopyReport:
    """Report whether a copy of an adapter version is ready or yet to be loaded."""

    adapter: str
    version: str
    is_ready: bool
