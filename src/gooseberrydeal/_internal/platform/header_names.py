"""Name the header fields of the platform."""

from typing import Final

REQUEST_ID: Final = b"x-request-id"
DEADLINE: Final = b"x-deadline-ms"
MODEL: Final = b"x-model"
# Prompt tokens and the most output tokens, separated by a comma.
TOKEN_COUNTS: Final = b"x-token-counts"
LAST_EVENT: Final = b"last-event-id"
EXPECT_SERVER: Final = b"x-expect-instance"
# The version of the adapter where the request names one, else of the base model.
EXPECT_VERSION: Final = b"x-expect-version"
PRIORITY: Final = b"x-request-priority"
NOT_RUN: Final = b"x-not-executed"
LOAD: Final = b"x-instance-load"

# Fields that only the system may set; a caller's are never passed on.
SYSTEM_FIELDS: Final = frozenset(
    {
        DEADLINE,
        EXPECT_SERVER,
        EXPECT_VERSION,
        PRIORITY,
        NOT_RUN,
        LOAD,
        b"x-pin-ms",
        b"x-hold",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"x-instance-id",
        b"x-response-seal",
        b"x-weight-versions",
    }
)
