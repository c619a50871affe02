"""Define the outcomes of sending a request to a backend server."""

from enum import Enum


class AttemptOutcome(Enum):
    """Outcome of one attempt to send a request to a server.

    ``SERVED``: the whole response was relayed.
    ``CUT``: the response ended prematurely after its head was received.
    ``WITHDRAWN``: this host closed the connection before any part of the body came.
    The server may still have begun to run the request.

    With the other outcomes nothing was relayed:

    ``NOT_RUN``: the server stated that it did not start the request.
    ``FAILED``: the server answered with an error.
    ``LOST``: the connection broke, or the bytes received were not a valid response.
    ``WITHHELD``: the status would wrongly tell the caller that the request did not run.
    """

    SERVED = "served"
    CUT = "cut"
    NOT_RUN = "not_run"
    FAILED = "failed"
    LOST = "lost"
    WITHHELD = "withheld"
    WITHDRAWN = "withdrawn"

    @property
    def leaves_request_there(self) -> bool:
        """Return whether the server may still hold the request, unanswered."""
        return self in (
            AttemptOutcome.LOST,
            AttemptOutcome.CUT,
            AttemptOutcome.WITHDRAWN,
        )
