"""Describe where a request goes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Placement:
    """Name a server and the wait that is expected there, in seconds."""

    server: str
    owner_address: str
    wait_seconds: float
    needs_load: bool
