"""Decide which requests are refused because servers crash when they run them."""

from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from gooseberrydeal._internal.models.routing.crash_evidence import CrashEvidence
from gooseberrydeal._internal.models.routing.crash_id import CrashId
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature
from gooseberrydeal._internal.policy.crash_causes import (
    MIN_CRASHES,
    CrashedFeature,
    find_causes,
)
from gooseberrydeal._internal.policy.request_identity import RequestIdentity

# A cause is refused for this long after the latest crash, so that neither a repaired
# service nor a feature refused by mistake is locked out. Each further crash doubles the
# time up to the maximum.
_REFUSAL_SECONDS: Final = 120.0
_MAX_REFUSAL_SECONDS: Final = 3600.0
# Longer than the longest refusal, so that a single crash then renews it.
_REFUSED_RETENTION_SECONDS: Final = 2 * _MAX_REFUSAL_SECONDS
_RETENTION_SECONDS: Final = 600.0
# Refuted evidence is kept while older messages about the same crashes may arrive.
_REFUTED_RETENTION_SECONDS: Final = 60.0
_MAX_FEATURES: Final = 4096
# All requests of a route share the first part of their prompts, and most parts that
# were at one crash are cleared by the next answer.
_MIN_PART_CRASHES: Final = 2
# Refuted crashes are kept too, since older messages may still tell of them as new.
_MAX_CRASHES_PER_FEATURE: Final = 128
_MAX_CRASHES: Final = 16_384
# Keeps messages small; what is left out here is at most a part of the refuted crashes
# or more crashes than are needed to refuse a feature.
_MAX_CRASHES_IN_EVIDENCE: Final = 8


@dataclass(slots=True)
class _Suspect:
    crashes: dict[CrashId, bool] = field(default_factory=dict)
    last_crash_at: float = float("-inf")
    lost_requests: int = 0

    @property
    def count(self) -> int:
        """Return the number of crashes that are not refuted."""
        return sum(not is_refuted for is_refuted in self.crashes.values())

    @property
    def open_crashes(self) -> frozenset[CrashId]:
        """Return the crashes that are not refuted."""
        return frozenset(k for k, is_refuted in self.crashes.items() if not is_refuted)


class CrashHistory:
    """Count, for each feature of requests, the crashes at which it was at the server.

    A feature is a request that may come again, or a part of prompts. Several requests
    are at a server when it crashes, and one feature of one of them caused it. The
    others are cleared when a request with them is served, which refutes all crashes
    known so far. A feature that causes crashes is never cleared, so its count grows.

    When the history is full, the features with the fewest crashes are dropped first,
    and the oldest among them, so that new suspects cannot displace a refused one.
    """

    def __init__(self) -> None:
        self._suspects: dict[RequestFeature, _Suspect] = {}
        self._outlines: Counter[bytes] = Counter()
        self._total_crashes = 0
        self._causes: frozenset[RequestFeature] | None = frozenset()
        # The suspects by the number of their crashes, each in the order of changes.
        self._by_count: tuple[OrderedDict[RequestFeature, None], ...] = tuple(
            OrderedDict() for _ in range(MIN_CRASHES + 1)
        )

    @property
    def count(self) -> int:
        """Return the number of features with evidence."""
        return len(self._suspects)

    @property
    def causes(self) -> frozenset[RequestFeature]:
        """Return the features that are taken for causes of crashes."""
        if self._causes is None:
            suspects = ((key, self._suspects[key]) for key in self._by_count[-1])
            self._causes = find_causes(
                CrashedFeature(key, suspect.open_crashes, suspect.lost_requests)
                for key, suspect in suspects
            )
        return self._causes

    def refused(self, now: float) -> frozenset[RequestFeature]:
        """Return the features whose requests are refused."""
        return frozenset(key for key in self.causes if self.is_refused(key, now))

    def find(self, identity: RequestIdentity) -> RequestFeature | None:
        """Return the whole request as a feature if there is evidence about it.

        The body is read only if another request with the same outline is known.
        """
        if not self._suspects or identity.outline not in self._outlines:
            return None
        feature = identity.fingerprint
        return feature if feature in self._suspects else None

    def find_all(self, identity: RequestIdentity) -> tuple[RequestFeature, ...]:
        """Return the features of a request that there is evidence about."""
        if not self._suspects:
            return ()
        shared = tuple(f for f in identity.shared_features if f in self._suspects)
        whole = self.find(identity)
        return shared if whole is None else (whole, *shared)

    def isolation_level(self, identity: RequestIdentity) -> int:
        """Return how many crashes of a request are not refuted, whatever its prompt.

        This is the larger number of those with the same query and those with any.
        """
        if not self._suspects:
            return 0
        found = (f for f in self.find_all(identity) if f.outline or f.is_any_query)
        return max(map(self.crash_count, found), default=0)

    def suspected_part(self, identity: RequestIdentity) -> RequestFeature | None:
        """Return the part because of which a request may only run alone, if any.

        This is the last one with crashes, which the fewest requests have.
        """
        if not self._suspects:
            return None
        parts = [f for f in identity.prompt_parts if self.crash_count(f)]
        counts = (self.crash_count(part) for part in parts)
        is_suspected = max(counts, default=0) >= _MIN_PART_CRASHES
        return parts[-1] if is_suspected else None

    def crash_count(self, feature: RequestFeature) -> int:
        """Return the number of crashes of a feature that are not refuted."""
        suspect = self._suspects.get(feature)
        return 0 if suspect is None else suspect.count

    def is_refused(self, feature: RequestFeature, now: float) -> bool:
        """Return whether requests with a feature must not be sent to a server."""
        return feature in self.causes and now < self.refusal_end(feature)

    def is_proven(self, feature: RequestFeature) -> bool:
        """Return whether a cause was found beyond what requests have in common.

        All requests of a route share parts of their prompts. Such a part is at each
        crash, also if something else causes them, until a request crashes a server
        alone because of it.
        """
        if not feature.is_shared or feature.is_any_query:
            return True
        return any(crash.is_isolated for crash in self._suspects[feature].open_crashes)

    def refusal_end(self, feature: RequestFeature) -> float:
        """Return until when a cause of crashes is refused."""
        suspect = self._suspects[feature]
        doublings = suspect.count - MIN_CRASHES
        seconds = min(_MAX_REFUSAL_SECONDS, _REFUSAL_SECONDS * 2.0**doublings)
        return suspect.last_crash_at + seconds

    def note_crash(self, feature: RequestFeature, crash: CrashId, now: float) -> None:
        """Record that a request with the feature was at a server when it crashed."""
        self.merge(CrashEvidence(feature, {crash: False}, 0.0), now)
        if feature in self._suspects:
            self._suspects[feature].lost_requests += 1
            self._causes = None

    def note_cleared(self, feature: RequestFeature) -> int:
        """Refute the crashes of a feature that was cleared; return how many."""
        suspect = self._suspects.get(feature)
        if suspect is None:
            return 0
        count = suspect.count
        for crash in suspect.crashes:
            suspect.crashes[crash] = True
        self._sort_in(feature, suspect)
        return count

    def merge(self, evidence: CrashEvidence, now: float) -> bool:
        """Add evidence; return whether any of it was new."""
        latest = now - max(0.0, evidence.seconds_ago)
        if not evidence.crashes or now - latest > _REFUSED_RETENTION_SECONDS:
            return False
        suspect = self._suspects.get(evidence.feature)
        if suspect is None:
            suspect = _Suspect()
            self._suspects[evidence.feature] = suspect
            self._outlines[evidence.feature.outline] += 1
        is_new = False
        for crash, is_refuted in evidence.crashes.items():
            known = suspect.crashes.get(crash)
            if known is None or (is_refuted and not known):
                suspect.crashes[crash] = is_refuted
                is_new = True
            if known is None:
                self._total_crashes += 1
        while len(suspect.crashes) > _MAX_CRASHES_PER_FEATURE:
            dropped = _least_useful(suspect.crashes)
            self._forget_crash(suspect, dropped)
        if is_new:
            suspect.last_crash_at = max(suspect.last_crash_at, latest)
            self._sort_in(evidence.feature, suspect)
            self._enforce_limit()
        return is_new

    def evidence_of(self, feature: RequestFeature, now: float) -> CrashEvidence | None:
        """Return what is known about a feature, ``None`` if nothing is."""
        suspect = self._suspects.get(feature)
        if suspect is None:
            return None
        seconds_ago = now - suspect.last_crash_at
        latest_first = reversed(suspect.crashes.items())
        ordered = sorted(latest_first, key=lambda item: item[1])
        crashes = dict(ordered[:_MAX_CRASHES_IN_EVIDENCE])
        return CrashEvidence(feature, crashes, seconds_ago)

    def by_importance(self) -> Iterator[RequestFeature]:
        """Yield the features with the most crashes first, the latest of them first."""
        for group in reversed(self._by_count):
            yield from reversed(group)

    def expire(self, now: float) -> None:
        """Drop evidence that is too old."""
        for number, group in enumerate(self._by_count):
            limit = _RETENTION_SECONDS if number else _REFUTED_RETENTION_SECONDS
            if number == MIN_CRASHES:
                limit = _REFUSED_RETENTION_SECONDS
            for feature in list(group):
                if now - self._suspects[feature].last_crash_at > limit:
                    self._drop(feature)

    def _sort_in(self, feature: RequestFeature, suspect: _Suspect) -> None:
        for group in self._by_count:
            group.pop(feature, None)
        self._by_count[min(suspect.count, MIN_CRASHES)][feature] = None
        self._causes = None

    def _enforce_limit(self) -> None:
        while len(self._suspects) > _MAX_FEATURES or self._total_crashes > _MAX_CRASHES:
            group = next(group for group in self._by_count if group)
            self._drop(next(iter(group)))

    def _drop(self, feature: RequestFeature) -> None:
        suspect = self._suspects.pop(feature)
        for crash in list(suspect.crashes):
            self._forget_crash(suspect, crash)
        for group in self._by_count:
            group.pop(feature, None)
        self._causes = None
        self._outlines[feature.outline] -= 1
        if not self._outlines[feature.outline]:
            del self._outlines[feature.outline]

    def _forget_crash(self, suspect: _Suspect, crash: CrashId) -> None:
        del suspect.crashes[crash]
        self._total_crashes -= 1


def _least_useful(crashes: dict[CrashId, bool]) -> CrashId:
    """Return the oldest refuted crash, or the oldest one if none is refuted."""
    refuted = (crash for crash, is_refuted in crashes.items() if is_refuted)
    return next(refuted, next(iter(crashes)))
