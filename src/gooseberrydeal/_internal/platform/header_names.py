"""Define the names of the platform's HTTP header fields, in lower case."""

from typing import Final

REQUEST_ID: Final = b"x-request-id"
CREDENTIAL: Final = b"authorization"
# The name of the account that a request is served for; only the router may set it.
ACCOUNT: Final = b"x-tenant"
DEADLINE: Final = b"x-deadline-ms"
MODEL: Final = b"x-model"
# The number of prompt tokens and the maximum number of output tokens, comma-separated.
TOKEN_COUNTS: Final = b"x-token-counts"
# The parts of the prompt in order, as ID:TOKENS pairs separated by commas; the last one
# belongs to the request itself or to its session.
PROMPT_PARTS: Final = b"x-prompt-prefix"
LAST_EVENT_ID: Final = b"last-event-id"
# The id of the caller's attempt that brought the first event of the stream.
RESUMES: Final = b"resumes"
EXPECT_INSTANCE: Final = b"x-expect-instance"
# The adapter's version if the request names an adapter, else that of the base model.
EXPECT_VERSION: Final = b"x-expect-version"
REQUEST_PRIORITY: Final = b"x-request-priority"
NOT_EXECUTED: Final = b"x-not-executed"
INSTANCE_LOAD: Final = b"x-instance-load"
# The requests per second, a decimal number, that a server takes from all hosts.
SERVER_LIMIT: Final = b"server-limit"
# Set to 1 in all responses of a server that is about to end.
SERVER_LEAVING: Final = b"server-leaving"
# Set in all responses of a server that falls over if it turns more than so many
# requests away in a second.
SERVER_BRITTLE: Final = b"server-brittle"
# On a response with status 503: the seconds, a decimal number, for which the server
# wants no requests from this host.
RETRY_AFTER: Final = b"retry-after"

# Fields that only the router may set in forwarded requests; those that a caller sent
# are removed.
RESERVED_FIELDS: Final = frozenset(
    {
        DEADLINE,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        REQUEST_PRIORITY,
        NOT_EXECUTED,
        INSTANCE_LOAD,
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
