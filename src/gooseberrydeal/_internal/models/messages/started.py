"""Define the message that a request is being sent to its server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Started:
    """Tell that from now on the request may have been executed.

    ``queue_seconds`` is the time that it spent in the owner's queue.
    """

    stream: int
    request_id: str
    server: str
    waited_for_load: bool = False
    queue_seconds: float = 0.0
