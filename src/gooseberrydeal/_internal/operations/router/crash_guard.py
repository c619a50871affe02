"""Refuse requests that crash the servers they run on."""

import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from gooseberrydeal._internal.models.routing.crash_evidence import CrashEvidence
from gooseberrydeal._internal.models.routing.crash_id import CrashId
from gooseberrydeal._internal.models.routing.lost_request import LostRequest
from gooseberrydeal._internal.models.routing.request_fingerprint import (
    RequestFingerprint,
)
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.policy.crash_history import CrashHistory
from gooseberrydeal._internal.policy.recently_served import RecentlyServed
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
        self._served = RecentlyServed()
        self._runs: set[GuardedRun] = set()
        self._refused: frozenset[RequestFingerprint] = frozenset()
        self._last_crash: CrashId | None = None

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
        self._served.note(identity, self._clock())
        fingerprint = self._history.find(identity)
        if fingerprint is None:
            return
        if self._refute(fingerprint):
            self._on_evidence((fingerprint,))
            self._withdraw_refused()

    def note_crash(self, crash: CrashId, requests: Sequence[LostRequest]) -> None:
        """Record a crash and the requests of this host that were at the server.

        Further requests may be reported for the same crash.
        """
        if crash != self._last_crash:
            self._metrics.count_crash()
            self._last_crash = crash
        now = self._clock()
        for request_id, fingerprint, prompt_parts in requests:
            self._history.note_crash(fingerprint, crash, now)
            self._refute_if_served(fingerprint, now)
            logger.info(
                "request %s was at a server that crashed, %d crashes so far",
                fingerprint,
                self._history.crash_count(fingerprint),
                extra={
                    "request_id": request_id,
                    "server": crash.server,
                    "prompt_parts": list(prompt_parts),
                },
            )
        self._on_evidence([request.fingerprint for request in requests])
        self._withdraw_refused()

    def merge(self, evidence: Iterable[CrashEvidence]) -> None:
        """Add the evidence of another host."""
        now = self._clock()
        changed = [e.fingerprint for e in evidence if self._history.merge(e, now)]
        refuted = [key for key in changed if self._refute_if_served(key, now)]
        if refuted:
            self._on_evidence(refuted)
        if changed:
            self._withdraw_refused()

    def _refute_if_served(self, fingerprint: RequestFingerprint, now: float) -> bool:
        """Refute the crashes of a request that is served all the time."""
        return self._served.holds(fingerprint, now) and self._refute(fingerprint)

    def _refute(self, fingerprint: RequestFingerprint) -> bool:
        """Refute the crashes of a request; return whether there were any."""
        refuted = self._history.note_served(fingerprint)
        if refuted:
            logger.info(
                "request %s was served, so it did not cause %d crashes",
                fingerprint,
                refuted,
            )
        return bool(refuted)

    def _withdraw_refused(self) -> None:
        """Withdraw the requests that new evidence refuses from their servers."""
        refused = self._history.refused(self._clock())
        for fingerprint in refused - self._refused:
            logger.warning(
                "request %s is refused: %d servers crashed while it was there",
                fingerprint,
                self._history.crash_count(fingerprint),
            )
        self._refused = refused
        self._metrics.set_state("requests_refused_for_crashes", len(refused))
        if not refused:
            return
        for run in list(self._runs):
            if self._history.find(run.identity) in refused:
                run.refuse_as_crashing()
