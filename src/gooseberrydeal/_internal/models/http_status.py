"""Map refusal reasons to HTTP status codes."""

from typing import Final

from gooseberrydeal._internal.models.refusal_reason import RefusalReason

HTTP_STATUS: Final[dict[RefusalReason, int]] = {
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.NOT_ALLOWED: 403,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.UNSUPPORTED: 400,
    RefusalReason.UNKNOWN_MODEL: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_OPERATION: 404,
    RefusalReason.RATE_LIMITED: 429,
    RefusalReason.OVERLOADED: 503,
    RefusalReason.DEADLINE: 504,
    RefusalReason.NO_SERVER: 503,
    RefusalReason.SERVERS_UNREACHABLE: 503,
    RefusalReason.LOAD_FAILED: 503,
    RefusalReason.NOT_OWNER: 503,
    RefusalReason.SERVER_LEAVING: 503,
    RefusalReason.SERVER_SLOW: 503,
    RefusalReason.SERVER_LIMITED: 503,
    RefusalReason.SERVER_BUSY: 503,
    RefusalReason.SHUTTING_DOWN: 503,
    RefusalReason.NO_CONFIGURATION: 503,
    RefusalReason.ISOLATED: 503,
    RefusalReason.OWNER_UNREACHABLE: 502,
    RefusalReason.SERVER_FAILED: 502,
    RefusalReason.STREAM_CUT: 502,
    RefusalReason.CRASH_SUSPECT: 422,
    RefusalReason.STREAM_ORIGIN_UNKNOWN: 503,
    RefusalReason.STREAM_VERSION_GONE: 503,
    RefusalReason.SUSPECT_WAITS: 503,
    RefusalReason.CLAIMS_UNAVAILABLE: 503,
    RefusalReason.KEY_MALFORMED: 400,
    RefusalReason.KEY_EXPIRED: 409,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.ALREADY_CLAIMED: 409,
    RefusalReason.CANCELLED: 499,
}
