"""Parse idempotency keys, which contain their time of issue."""

import re
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import Enum
from hashlib import sha256
from typing import Final

MAX_CLOCK_SKEW_SECONDS: Final = 120.0
_KEY_PATTERN: Final = re.compile(r"^(\d{8}T\d{6}Z)-([A-Za-z0-9_-]{8,64})$")
_TIME_FORMAT: Final = "%Y%m%dT%H%M%SZ"
_CLAIM_PREFIX_COUNT: Final = 16


class KeyFault(Enum):
    """List the reasons to reject an idempotency key."""

    MALFORMED = "malformed"
    EXPIRED = "expired"
    FROM_FUTURE = "from_future"


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """Hold a valid key; ``issued`` is in seconds since the Unix epoch."""

    text: str
    issued: float

    def store_key(self, caller: str, service: str, operation: str) -> str:
        """Return the platform store's key for the claim on a request.

        The digest spreads claims evenly over ``_CLAIM_PREFIX_COUNT`` key prefixes.
        """
        scope = f"{caller}\0{service}\0{operation}\0{self.text}"
        digest = sha256(scope.encode()).hexdigest()
        return f"claims/{int(digest[:4], 16) % _CLAIM_PREFIX_COUNT:02d}/{digest}"


def parse_idempotency_key(
    text: str, now: float, window_seconds: float
) -> IdempotencyKey | KeyFault:
    """Return the parsed key, or the reason to reject it.

    A key has the form ``YYYYMMDDTHHMMSSZ-RANDOM``: the time of issue in UTC and 8 to 64
    random characters. A key older than ``window_seconds`` is rejected, since its claim
    record may have expired. A key from the future is accepted within the allowed clock
    skew.
    """
    match = _KEY_PATTERN.match(text)
    if match is None:
        return KeyFault.MALFORMED
    try:
        issued = datetime.strptime(match.group(1), _TIME_FORMAT).replace(tzinfo=UTC)
    except ValueError:
        return KeyFault.MALFORMED
    age = now - issued.timestamp()
    if age > window_seconds:
        return KeyFault.EXPIRED
    if age < -MAX_CLOCK_SKEW_SECONDS:
        return KeyFault.FROM_FUTURE
    return IdempotencyKey(text, issued.timestamp())
