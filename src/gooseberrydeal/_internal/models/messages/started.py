"""Report that a request has left for its server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Started:
    """Say that from now on the request may have been run."""

    stream: int
    request_id: str
    server: str
    waited_for_load: bool = False
    queue_seconds: float = 0.0
