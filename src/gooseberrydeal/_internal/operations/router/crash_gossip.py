"""Tell the other hosts about requests that may crash servers."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from itertools import islice
from typing import Final

from gooseberrydeal._internal.models.routing.crash_evidence import (
    CrashEvidence,
    CrashReport,
)
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.request_fingerprint import (
    RequestFingerprint,
)
from gooseberrydeal._internal.network.report_codec import encode_crash_report
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.policy.crash_history import CrashHistory

# Keeps a datagram within the usual packet size.
_MAX_REQUESTS_PER_DATAGRAM: Final = 6
# A crash with more requests of this host than this is described by the first of them.
_MAX_REQUESTS_PER_BATCH: Final = 192
_GOSSIP_INTERVAL_SECONDS: Final = 1.0
_GOSSIP_HOSTS: Final = 2
# Requests with the most crashes are repeated first, in as many datagrams as this.
_GOSSIP_DATAGRAMS: Final = 2


class CrashGossip:
    """Send new evidence to all hosts at once, and repeat what is known to some.

    The repetition reaches hosts that missed a datagram, were cut off or have just
    started. Its cost per host does not depend on the number of hosts.
    """

    def __init__(
        self,
        membership: HostMembership,
        view: MetadataView,
        history: CrashHistory,
        send: Callable[[bytes, str], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._view = view
        self._history = history
        self._send = send
        self._clock = clock
        self._rng = rng
        self._pending: dict[RequestFingerprint, None] = {}

    def announce(self, fingerprints: Iterable[RequestFingerprint]) -> None:
        """Send what is known about some requests to all hosts.

        Evidence from one iteration of the event loop is sent together.
        """
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._announce_pending)
        self._pending.update(dict.fromkeys(fingerprints))

    async def run(self) -> None:
        """Repeat what is known to a few hosts periodically, until cancelled."""
        while True:
            await asyncio.sleep(_GOSSIP_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2))
            self._history.expire(self._clock())
            if self._history.count:
                self._repeat()

    def _announce_pending(self) -> None:
        fingerprints, self._pending = self._pending, {}
        first = islice(fingerprints, _MAX_REQUESTS_PER_BATCH)
        self._send_evidence(first, self._other_hosts())

    def _repeat(self) -> None:
        hosts = self._other_hosts()
        chosen = self._rng.sample(hosts, min(_GOSSIP_HOSTS, len(hosts)))
        limit = _GOSSIP_DATAGRAMS * _MAX_REQUESTS_PER_DATAGRAM
        self._send_evidence(islice(self._history.by_importance(), limit), chosen)

    def _send_evidence(
        self,
        fingerprints: Iterable[RequestFingerprint],
        hosts: Sequence[HostMembership],
    ) -> None:
        now = self._clock()
        found = (self._history.evidence_of(key, now) for key in fingerprints)
        evidence = [item for item in found if item is not None]
        for start in range(0, len(evidence), _MAX_REQUESTS_PER_DATAGRAM):
            self._send_report(
                evidence[start : start + _MAX_REQUESTS_PER_DATAGRAM], hosts
            )

    def _send_report(
        self, evidence: list[CrashEvidence], hosts: Sequence[HostMembership]
    ) -> None:
        report = CrashReport(self._membership.host, tuple(evidence))
        data = encode_crash_report(report)
        for host in hosts:
            self._send(data, host.address)

    def _other_hosts(self) -> list[HostMembership]:
        own = self._membership.host
        return [host for host in self._view.hosts.values() if host.host != own]
