"""Name the answers to a claim."""

from enum import Enum


class ClaimVerdict(Enum):
    """List what can become of a claim."""

    GRANTED = "granted"
    REPEAT = "repeat"
    BODY_DIFFERS = "body_differs"
    UNAVAILABLE = "unavailable"
