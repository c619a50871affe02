"""Define what is known about a feature of requests that may crash servers."""

from collections.abc import Mapping
from dataclasses import dataclass

from gooseberrydeal._internal.models.routing.crash_id import CrashId
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature


@dataclass(frozen=True, slots=True)
class CrashEvidence:
    """Hold the crashes at which a request with the feature was at the server.

    The value of a crash says whether it is refuted: the feature was cleared later, so
    it did not cause that crash. ``seconds_ago`` is the age of the latest crash.
    Evidence of several hosts is merged, in any order and any number of times.
    """

    feature: RequestFeature
    crashes: Mapping[CrashId, bool]
    seconds_ago: float
