"""Define what is known about a request that may crash servers."""

from collections.abc import Mapping
from dataclasses import dataclass

from gooseberrydeal._internal.models.routing.crash_id import CrashId
from gooseberrydeal._internal.models.routing.request_fingerprint import (
    RequestFingerprint,
)


@dataclass(frozen=True, slots=True)
class CrashEvidence:
    """Hold the crashes during which a request was running or waiting at the server.

    The value of a crash says whether it is refuted: the request was served later, so
    it did not cause that crash. ``seconds_ago`` is the age of the latest crash.
    Evidence of several hosts is merged, in any order and any number of times.
    """

    fingerprint: RequestFingerprint
    crashes: Mapping[CrashId, bool]
    seconds_ago: float
