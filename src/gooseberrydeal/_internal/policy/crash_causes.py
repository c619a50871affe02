"""Decide which features of requests are the causes of crashes."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import groupby
from typing import Final

from gooseberrydeal._internal.models.routing.crash_id import CrashId
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature

# A feature that was at this many servers when they crashed, and was never cleared since
# the first of them, is taken for a cause.
MIN_CRASHES: Final = 3
# The same if another feature was there each time. It takes a further crash, at which
# usually only one of them is there, to tell which one is the cause.
_MIN_SHARED_CRASHES: Final = 4


@dataclass(frozen=True, slots=True)
class CrashedFeature:
    """Describe a feature by the crashes at which it was there.

    ``lost_requests`` is the number of requests of this host that had it at crashes.
    """

    feature: RequestFeature
    crashes: frozenset[CrashId]
    lost_requests: int

    @property
    def was_isolated(self) -> bool:
        """Return whether a request with the feature crashed a server alone."""
        return any(crash.is_isolated for crash in self.crashes)

    @property
    def rank(self) -> tuple[int, bool, int]:
        """Return the order in which features are considered, the highest first.

        Among features with equally many crashes, the one that fewer requests have is
        the more likely cause.
        """
        is_whole_request = not self.feature.is_shared
        return len(self.crashes), is_whole_request, -self.lost_requests


def find_causes(features: Iterable[CrashedFeature]) -> frozenset[RequestFeature]:
    """Return the features that explain the crashes.

    A feature is a cause if it was at enough crashes, one of them alone. All other
    crashes are explained by the highest ranked feature that was there, and a feature
    that was never alone is a cause if it was at enough crashes that no cause of a
    higher rank explains. So features that were often beside a cause are not taken for
    one, but to be found without having been alone, each cause needs crashes of its own.
    """
    ranked = sorted(features, key=lambda item: item.rank, reverse=True)
    shared = Counter((item.crashes, item.feature.is_any_query) for item in ranked)
    alone = [
        item
        for item in ranked
        if item.was_isolated and len(item.crashes) >= MIN_CRASHES
    ]
    causes = {item.feature for item in alone}
    explained: set[CrashId] = set().union(*(item.crashes for item in alone))
    for _, group in groupby(ranked, key=lambda item: item.rank):
        found = [
            item
            for item in group
            if len(item.crashes - explained) >= MIN_CRASHES
            and (
                len(item.crashes) >= _MIN_SHARED_CRASHES
                or shared[item.crashes, item.feature.is_any_query] == 1
            )
        ]
        causes.update(item.feature for item in found)
        explained.update(*(item.crashes for item in found))
    return frozenset(causes)
