"""Define the reasons for retries."""

from enum import Enum


class RetryReason(Enum):
    """List the reasons for another attempt at a request, an order or a store write."""

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
