"""Refuse requests that crash the servers they run on."""

import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from gooseberrydeal._internal.models.routing.crash_evidence import CrashEvidence
from gooseberrydeal._internal.models.routing.crash_id import CrashId
from gooseberrydeal._internal.models.routing.request_fingerprint import (
    RequestFingerprint,
)
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.policy.crash_history import CrashHistory
from gooseberrydeal._internal.policy.request_identity import RequestIdentity

logger = logging.getLogger(__name__)


class GuardedRun(Protocol):
    """Serve a request that may turn out to crash servers."""

    @property
    def identity(self) -> RequestIdentity:
        """Return what identifies the request."""
        ...

    def refuse_as_crashing(self) -> None:
        """Withdraw the request from its server unless its response has begun."""
        ...


class CrashGuard:
    """Keep the crash history of this host and apply it to requests.

    ``on_evidence`` is called with the requests about which this host has learnt
    something from its own servers, so that the other hosts are told.
    """

    def __init__(
        self,
        history: CrashHistory,
        metrics: RouterMetrics,
        on_evidence: Callable[[Sequence[RequestFingerprint]], None],
        clock: Callable[[], float],
    ) -> None:
        self._history = history
        self._metrics = metrics
        self._on_evidence = on_evidence
        self._clock = clock
        self._runs: set[GuardedRun] = set()

    def is_refused(self, identity: RequestIdentity) -> bool:
        """Return whether a request must not be sent to a server."""
        fingerprint = self._history.find(identity)
        return fingerprint is not None and self._history.is_refused(
            fingerprint, self._clock()
        )

    def is_suspect(self, identity: RequestIdentity) -> bool:
        """Return whether the request was at a server when it crashed."""
        fingerprint = self._history.find(identity)
        return fingerprint is not None and bool(self._history.crash_count(fingerprint))

    def enter(self, run: GuardedRun) -> None:
        """Register a request that is being served."""
        self._runs.add(run)

    def leave(self, run: GuardedRun) -> None:
        """Unregister a request that is no longer served."""
        self._runs.discard(run)

    def note_served(self, identity: RequestIdentity) -> None:
        """Record that a server ran a request to the end."""
        fingerprint = self._history.find(identity)
        if fingerprint is None:
            return
        refuted = self._history.note_served(fingerprint)
        if refuted:
            logger.info(
                "request %s was served, so it did not cause %d crashes",
                fingerprint,
                refuted,
                extra={"request_id": identity.request_id},
            )
            self._on_evidence((fingerprint,))

    def note_crash(self, crash: CrashId, identities: Sequence[RequestIdentity]) -> None:
        """Record a crash and the requests of this host that were at the server."""
        self._metrics.count_crash()
        now = self._clock()
        fingerprints = {identity.fingerprint: identity for identity in identities}
        for fingerprint, identity in fingerprints.items():
            self._history.note_crash(fingerprint, crash, now)
            logger.info(
                "request %s was at a server that crashed, %d crashes so far",
                fingerprint,
                self._history.crash_count(fingerprint),
                extra={"request_id": identity.request_id, "server": crash.server},
            )
        self._on_evidence(tuple(fingerprints))
        self._withdraw_refused(fingerprints)

    def merge(self, evidence: Iterable[CrashEvidence]) -> None:
        """Add the evidence of another host."""
        now = self._clock()
        changed = {e.fingerprint for e in evidence if self._history.merge(e, now)}
        self._withdraw_refused(changed)

    def _withdraw_refused(self, changed: Iterable[RequestFingerprint]) -> None:
        now = self._clock()
        refused = {key for key in changed if self._history.is_refused(key, now)}
        if not refused:
            return
        for fingerprint in refused:
            logger.warning(
                "request %s is refused: %d servers crashed while it was there",
                fingerprint,
                self._history.crash_count(fingerprint),
            )
        self._metrics.set_state(
            "requests_refused_for_crashes", self._history.refused_count(now)
        )
        for run in list(self._runs):
            if self._history.find(run.identity) in refused:
                run.refuse_as_crashing()
