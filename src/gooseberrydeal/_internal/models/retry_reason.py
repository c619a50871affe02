"""Name the reasons for which the system tries again."""

from enum import Enum


class RetryReason(Enum):
    """List every reason for another attempt at a request or an order."""

    NOT_OWNER = "not_owner"
    OWNER_UNREACHABLE = "owner_unreachable"
    SERVER_LEAVING = "server_leaving"
    SERVER_SLOW = "server_slow"
    SERVER_FAILED = "server_failed"
    OVERLOADED = "overloaded"
    LOAD_FAILED = "load_failed"
    STREAM_RESUMED = "stream_resumed"
    HEDGED = "hedged"
    STORE_UNANSWERED = "store_unanswered"
    SHUTTING_DOWN = "shutting_down"
