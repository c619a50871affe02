"""Refuse requests that crash the servers they run on."""

import logging
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final, Protocol

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.models.routing.crash_evidence import CrashEvidence
from gooseberrydeal._internal.models.routing.crash_id import CrashId
from gooseberrydeal._internal.models.routing.lost_request import LostRequest
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.suspect_isolation import (
    SuspectIsolation,
)
from gooseberrydeal._internal.policy.crash_history import CrashHistory
from gooseberrydeal._internal.policy.recently_cleared import RecentlyCleared
from gooseberrydeal._internal.policy.refusal_trials import RefusalTrials
from gooseberrydeal._internal.policy.request_identity import RequestIdentity

logger = logging.getLogger(__name__)

_REQUEST_CLEARED_SECONDS: Final = 2.0
# Engines that crash one after the other may leave no answer standing for a while, and
# all requests of a route share the first part of their prompts.
_SHARED_CLEARED_SECONDS: Final = 30.0
# Longer bodies are not remembered, since each would have to be read for its digest.
_MAX_CLEARED_BODY_BYTES: Final = 65_536


class GuardedRun(Protocol):
    """Serve a request that may turn out to crash servers."""

    @property
    def identity(self) -> RequestIdentity:
        """Return what identifies the request."""
        ...

    def refuse_as_crashing(self, cause: RequestFeature) -> None:
        """Withdraw the request from its server unless its response has begun."""
        ...


class CrashGuard:
    """Keep the crash history of this host and apply it to requests.

    ``hosts`` returns the hosts that may send requests. ``on_evidence`` is called with
    the features about which this host has learnt something from its own servers, so
    that the other hosts are told.
    """

    def __init__(
        self,
        history: CrashHistory,
        isolation: SuspectIsolation,
        trials: RefusalTrials,
        metrics: RouterMetrics,
        hosts: Callable[[], Iterable[HostId]],
        on_evidence: Callable[[Sequence[RequestFeature]], None],
        clock: Callable[[], float],
    ) -> None:
        self._history = history
        self._isolation = isolation
        self._trials = trials
        self._metrics = metrics
        self._hosts = hosts
        self._on_evidence = on_evidence
        self._clock = clock
        self._served = RecentlyCleared(_REQUEST_CLEARED_SECONDS)
        self._cleared_shared = RecentlyCleared(_SHARED_CLEARED_SECONDS)
        self._runs: set[GuardedRun] = set()
        self._refused: frozenset[RequestFeature] = frozenset()
        self._last_crash: CrashId | None = None

    def refusal_cause(self, identity: RequestIdentity) -> RequestFeature | None:
        """Return why a request must not be sent, ``None`` if it may be."""
        return next(self._refusing(identity), None)

    def final_cause(self, identity: RequestIdentity) -> RequestFeature | None:
        """Return why a request must not be sent even alone, ``None`` if it may be."""
        causes = self._refusing(identity)
        return next(filter(self._history.is_proven, causes), None)

    def _refusing(self, identity: RequestIdentity) -> Iterator[RequestFeature]:
        """Yield the features because of which a request is refused."""
        if not self._history.causes:
            return
        now = self._clock()
        for feature in self._history.find_all(identity):
            if feature in self._history.causes:
                seconds_since_end = now - self._history.refusal_end(feature)
                if seconds_since_end < 0 or not self._trials.admits(
                    feature, identity.request_id, seconds_since_end, self._hosts()
                ):
                    yield feature

    def is_suspect(self, identity: RequestIdentity) -> bool:
        """Return whether a feature of the request was at a server when it crashed."""
        found = self._history.find_all(identity)
        return any(self._history.crash_count(feature) for feature in found)

    def enter(self, run: GuardedRun) -> None:
        """Register a request that is being served."""
        self._runs.add(run)

    def leave(self, run: GuardedRun) -> None:
        """Unregister a request that is no longer served."""
        self._runs.discard(run)

    def note_answering(self, identity: RequestIdentity) -> None:
        """Record that a server has been answering a request for some time.

        This clears what the request shares with others, which would have crashed the
        server when the answer began.
        """
        now = self._clock()
        shared = identity.shared_features
        for feature in shared:
            self._cleared_shared.note(feature, now)
        self._clear(f for f in shared if self._history.crash_count(f))

    def note_served(self, identity: RequestIdentity) -> None:
        """Record that a server ran a request to the end."""
        if identity.body_length <= _MAX_CLEARED_BODY_BYTES:
            self._served.note(identity.fingerprint, self._clock())
        self.note_answering(identity)
        feature = self._history.find(identity)
        if feature is not None:
            self._clear((feature,))

    def note_crash(self, crash: CrashId, requests: Sequence[LostRequest]) -> None:
        """Record a crash and the requests of this host that were at the server.

        Further requests may be reported for the same crash.
        """
        if crash != self._last_crash:
            self._metrics.count_crash()
            self._last_crash = crash
        now = self._clock()
        self._isolation.server_crashed(crash.server)
        noted: dict[RequestFeature, None] = {}
        for request_id, features in requests:
            for feature in features:
                if not self._is_cleared(feature, now):
                    self._history.note_crash(feature, crash, now)
                    noted[feature] = None
            for feature in self._isolation.isolated_features(request_id, crash.server):
                if feature in noted:
                    self._history.note_crash(feature, crash.isolated, now)
            self._isolation.note_crash(request_id)
            whole, *shared = features
            logger.info(
                "%s was at a server that crashed, %d crashes so far",
                whole,
                self._history.crash_count(whole),
                extra={
                    "request_id": request_id,
                    "server": crash.server,
                    "prompt_parts": {
                        part.content.decode("utf-8", "backslashreplace"): (
                            self._history.crash_count(part)
                        )
                        for part in shared
                        if not part.is_any_query
                    },
                },
            )
        self._on_evidence(list(noted))
        self._withdraw_refused()

    def merge(self, evidence: Iterable[CrashEvidence]) -> None:
        """Add the evidence of another host."""
        now = self._clock()
        changed = [e.feature for e in evidence if self._history.merge(e, now)]
        refuted = [key for key in changed if self._refute_if_cleared(key, now)]
        if refuted:
            self._on_evidence(refuted)
        if changed:
            self._withdraw_refused()

    def _clear(self, features: Iterable[RequestFeature]) -> None:
        refuted = [feature for feature in features if self._refute(feature)]
        if refuted:
            self._on_evidence(refuted)
            self._withdraw_refused()

    def _is_cleared(self, feature: RequestFeature, now: float) -> bool:
        """Return whether requests with a feature are served all the time."""
        cleared = self._cleared_shared if feature.is_shared else self._served
        return cleared.holds(feature, now)

    def _refute_if_cleared(self, feature: RequestFeature, now: float) -> bool:
        return self._is_cleared(feature, now) and self._refute(feature)

    def _refute(self, feature: RequestFeature) -> bool:
        """Refute the crashes of a feature; return whether there were any."""
        refuted = self._history.note_cleared(feature)
        if refuted:
            logger.info(
                "%s was served, so it did not cause %d crashes", feature, refuted
            )
        return bool(refuted)

    def _withdraw_refused(self) -> None:
        """Withdraw the requests that new evidence refuses from their servers."""
        causes = self._history.refused(self._clock())
        refused = frozenset(filter(self._history.is_proven, causes))
        new = refused - self._refused
        for feature in new:
            logger.warning(
                "%s is refused: %d servers crashed while it was there",
                feature,
                self._history.crash_count(feature),
            )
        self._refused = refused
        self._trials.retain(self._history.causes)
        self._metrics.set_state("requests_refused_for_crashes", len(refused))
        if not new:
            return
        for run in list(self._runs):
            cause = next(
                (f for f in self._history.find_all(run.identity) if f in new), None
            )
            if cause is not None:
                run.refuse_as_crashing(cause)
