"""Decide which requests are refused because servers crash when they run them."""

from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from gooseberrydeal._internal.models.routing.crash_evidence import CrashEvidence
from gooseberrydeal._internal.models.routing.crash_id import CrashId
from gooseberrydeal._internal.models.routing.request_fingerprint import (
    RequestFingerprint,
)
from gooseberrydeal._internal.policy.request_identity import RequestIdentity

# A request that was at this many servers when they crashed, and was never served since
# the first of them, is refused.
_REFUSE_AFTER_CRASHES: Final = 3
# The same if another request was there each time. It takes a further crash, at which
# usually only one of them is there, to tell which one is the cause.
_REFUSE_AFTER_SHARED_CRASHES: Final = 4
# A refused request is allowed again this long after the latest crash, so that neither a
# repaired service nor a request refused by mistake is locked out. Each further crash
# doubles the time up to the maximum.
_REFUSAL_SECONDS: Final = 120.0
_MAX_REFUSAL_SECONDS: Final = 3600.0
# Longer than the longest refusal, so that a single crash then renews it.
_REFUSED_RETENTION_SECONDS: Final = 2 * _MAX_REFUSAL_SECONDS
_RETENTION_SECONDS: Final = 600.0
# Refuted evidence is kept while older messages about the same crashes may arrive.
_REFUTED_RETENTION_SECONDS: Final = 60.0
_MAX_REQUESTS: Final = 4096
# Refuted crashes are kept too, since older messages may still tell of them as new.
_MAX_CRASHES_PER_REQUEST: Final = 128
_MAX_CRASHES: Final = 16_384
# Keeps messages small; what is left out here is at most a part of the refuted crashes
# or more crashes than are needed to refuse a request.
_MAX_CRASHES_IN_EVIDENCE: Final = 8


@dataclass(slots=True)
class _Suspect:
    crashes: dict[CrashId, bool] = field(default_factory=dict)
    last_crash_at: float = float("-inf")

    @property
    def count(self) -> int:
        """Return the number of crashes that are not refuted."""
        return sum(not is_refuted for is_refuted in self.crashes.values())


class CrashHistory:
    """Count, for each request, the crashes during which it was at the server.

    Several requests are at a server when it crashes, and only one of them caused it.
    The others are served when they are sent again, which refutes all crashes known so
    far. A request that causes crashes is never served, so its count only grows. A
    request is not refused if one with more crashes was there at all of its own.

    When the history is full, the requests with the fewest crashes are dropped first,
    and the oldest among them, so that new suspects cannot displace a refused request.
    """

    def __init__(self) -> None:
        self._suspects: dict[RequestFingerprint, _Suspect] = {}
        self._outlines: Counter[bytes] = Counter()
        self._total_crashes = 0
        self._present: dict[CrashId, set[RequestFingerprint]] = {}
        # The suspects by the number of their crashes, each in the order of changes.
        self._by_count: tuple[OrderedDict[RequestFingerprint, None], ...] = tuple(
            OrderedDict() for _ in range(_REFUSE_AFTER_CRASHES + 1)
        )

    @property
    def count(self) -> int:
        """Return the number of requests with evidence."""
        return len(self._suspects)

    def refused(self, now: float) -> frozenset[RequestFingerprint]:
        """Return the requests that are refused."""
        return frozenset(key for key in self._by_count[-1] if self.is_refused(key, now))

    def find(self, identity: RequestIdentity) -> RequestFingerprint | None:
        """Return the fingerprint of a request that there is evidence about.

        The body is read only if another request with the same outline is known.
        """
        if not self._suspects or identity.outline not in self._outlines:
            return None
        fingerprint = identity.fingerprint
        return fingerprint if fingerprint in self._suspects else None

    def crash_count(self, fingerprint: RequestFingerprint) -> int:
        """Return the number of crashes of a request that are not refuted."""
        suspect = self._suspects.get(fingerprint)
        return 0 if suspect is None else suspect.count

    def is_refused(self, fingerprint: RequestFingerprint, now: float) -> bool:
        """Return whether a request must not be sent to a server."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        excess = suspect.count - _REFUSE_AFTER_CRASHES
        if excess < 0 or self._is_explained_by_another(fingerprint, suspect):
            return False
        seconds = min(_MAX_REFUSAL_SECONDS, _REFUSAL_SECONDS * 2.0**excess)
        return now - suspect.last_crash_at < seconds

    def note_crash(
        self, fingerprint: RequestFingerprint, crash: CrashId, now: float
    ) -> None:
        """Record that the request was at a server when it crashed."""
        self.merge(CrashEvidence(fingerprint, {crash: False}, 0.0), now)

    def note_served(self, fingerprint: RequestFingerprint) -> int:
        """Refute the crashes of a request that was served; return how many."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0
        count = suspect.count
        for crash in suspect.crashes:
            suspect.crashes[crash] = True
        self._sort_in(fingerprint, suspect)
        return count

    def merge(self, evidence: CrashEvidence, now: float) -> bool:
        """Add evidence; return whether any of it was new."""
        latest = now - max(0.0, evidence.seconds_ago)
        if not evidence.crashes or now - latest > _REFUSED_RETENTION_SECONDS:
            return False
        suspect = self._suspects.get(evidence.fingerprint)
        if suspect is None:
            suspect = _Suspect()
            self._suspects[evidence.fingerprint] = suspect
            self._outlines[evidence.fingerprint.outline] += 1
        is_new = False
        for crash, is_refuted in evidence.crashes.items():
            known = suspect.crashes.get(crash)
            if known is None or (is_refuted and not known):
                suspect.crashes[crash] = is_refuted
                is_new = True
            if known is None:
                self._total_crashes += 1
                self._present.setdefault(crash, set()).add(evidence.fingerprint)
        while len(suspect.crashes) > _MAX_CRASHES_PER_REQUEST:
            dropped = _least_useful(suspect.crashes)
            self._forget_crash(evidence.fingerprint, suspect, dropped)
        if is_new:
            suspect.last_crash_at = max(suspect.last_crash_at, latest)
            self._sort_in(evidence.fingerprint, suspect)
            self._enforce_limit()
        return is_new

    def evidence_of(
        self, fingerprint: RequestFingerprint, now: float
    ) -> CrashEvidence | None:
        """Return what is known about a request, ``None`` if nothing is."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        seconds_ago = now - suspect.last_crash_at
        latest_first = reversed(suspect.crashes.items())
        ordered = sorted(latest_first, key=lambda item: item[1])
        crashes = dict(ordered[:_MAX_CRASHES_IN_EVIDENCE])
        return CrashEvidence(fingerprint, crashes, seconds_ago)

    def by_importance(self) -> Iterator[RequestFingerprint]:
        """Yield the requests with the most crashes first, the latest of them first."""
        for group in reversed(self._by_count):
            yield from reversed(group)

    def expire(self, now: float) -> None:
        """Drop evidence that is too old."""
        for number, group in enumerate(self._by_count):
            limit = _RETENTION_SECONDS if number else _REFUTED_RETENTION_SECONDS
            if number == _REFUSE_AFTER_CRASHES:
                limit = _REFUSED_RETENTION_SECONDS
            for fingerprint in list(group):
                if now - self._suspects[fingerprint].last_crash_at > limit:
                    self._drop(fingerprint)

    def _is_explained_by_another(
        self, fingerprint: RequestFingerprint, suspect: _Suspect
    ) -> bool:
        """Return whether another request may have caused all of a request's crashes."""
        own = [crash for crash, is_refuted in suspect.crashes.items() if not is_refuted]
        others = set.intersection(*(self._present[crash] for crash in own))
        for other in others - {fingerprint}:
            rival = self._suspects[other]
            if any(rival.crashes[crash] for crash in own):
                continue
            if rival.count > len(own) or len(own) < _REFUSE_AFTER_SHARED_CRASHES:
                return True
        return False

    def _sort_in(self, fingerprint: RequestFingerprint, suspect: _Suspect) -> None:
        for group in self._by_count:
            group.pop(fingerprint, None)
        self._by_count[min(suspect.count, _REFUSE_AFTER_CRASHES)][fingerprint] = None

    def _enforce_limit(self) -> None:
        while len(self._suspects) > _MAX_REQUESTS or self._total_crashes > _MAX_CRASHES:
            group = next(group for group in self._by_count if group)
            self._drop(next(iter(group)))

    def _drop(self, fingerprint: RequestFingerprint) -> None:
        suspect = self._suspects.pop(fingerprint)
        for crash in list(suspect.crashes):
            self._forget_crash(fingerprint, suspect, crash)
        for group in self._by_count:
            group.pop(fingerprint, None)
        self._outlines[fingerprint.outline] -= 1
        if not self._outlines[fingerprint.outline]:
            del self._outlines[fingerprint.outline]

    def _forget_crash(
        self, fingerprint: RequestFingerprint, suspect: _Suspect, crash: CrashId
    ) -> None:
        del suspect.crashes[crash]
        self._total_crashes -= 1
        present = self._present[crash]
        present.discard(fingerprint)
        if not present:
            del self._present[crash]


def _least_useful(crashes: dict[CrashId, bool]) -> CrashId:
    """Return the oldest refuted crash, or the oldest one if none is refuted."""
    refuted = (crash for crash, is_refuted in crashes.items() if is_refuted)
    return next(refuted, next(iter(crashes)))
