"""Define why a host claims an engine."""

from enum import Enum


class ClaimReason(Enum):
    """List the reasons for claims; the log has the values."""

    OWNER_UNTIL_RESTORATION = "owner_until_restoration"
    NEW_ENGINE = "new_engine"
    NO_OWNER = "no_owner"
    OWN_RECORD = "own_record"
    OWN_RELEASE = "own_release"
    HANDED_OVER = "handed_over"
    DELAY_OVER = "delay_over"
