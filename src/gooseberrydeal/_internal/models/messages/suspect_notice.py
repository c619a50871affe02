"""Share a request that crashed a server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SuspectNotice:
    """Say that a request with this fingerprint was running when a server crashed."""

    fingerprint: str
    server: str
    seconds_ago: float
    was_alone: bool
