"""Remember which features of requests were shown to be harmless a moment ago."""

from collections import OrderedDict
from typing import Final

from gooseberrydeal._internal.models.routing.request_feature import RequestFeature

_MAX_FEATURES: Final = 4096


class RecentlyCleared:
    """Keep the features that were cleared last, for a fixed time."""

    def __init__(self, retention_seconds: float) -> None:
        self._retention_seconds = retention_seconds
        self._cleared_at: OrderedDict[RequestFeature, float] = OrderedDict()

    def note(self, feature: RequestFeature, now: float) -> None:
        """Record that a request with the feature did not crash its server."""
        self._cleared_at[feature] = now
        self._cleared_at.move_to_end(feature)
        if len(self._cleared_at) > _MAX_FEATURES:
            self._cleared_at.popitem(last=False)

    def holds(self, feature: RequestFeature, now: float) -> bool:
        """Return whether a feature was cleared within the retention time."""
        cleared_at = self._cleared_at.get(feature)
        return cleared_at is not None and now - cleared_at < self._retention_seconds
