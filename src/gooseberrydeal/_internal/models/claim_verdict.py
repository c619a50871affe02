"""Define the possible results of an idempotency claim."""

from enum import Enum


class ClaimStatus(Enum):
    """List the results of claiming an idempotency key.

    ``REPEAT`` means that a request with the same body has already claimed the key,
    ``BODY_DIFFERS`` that a request with another body has, and ``UNAVAILABLE`` that
    the claim could not be stored.
    """

    GRANTED = "granted"
    REPEAT = "repeat"
    BODY_DIFFERS = "body_differs"
    UNAVAILABLE = "unavailable"
