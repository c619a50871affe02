"""Define the notice of a request that may have crashed a server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SuspectNotice:
    """Tell that a request with this fingerprint was running when a server crashed.

    ``was_alone`` is set if no other request was running on the server.
    """

    fingerprint: str
    server: str
    seconds_ago: float
    was_alone: bool
