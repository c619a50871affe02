"""Tell the other hosts about requests that may crash servers."""

import asyncio
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import islice
from typing import Final

from gooseberrydeal._internal.models.routing.crash_evidence import CrashEvidence
from gooseberrydeal._internal.models.routing.crash_report import CrashReport
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.isolation_notice import IsolationNotice
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature
from gooseberrydeal._internal.network.report_codec import (
    encode_crash_report,
    encode_isolation_notice,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.policy.crash_history import CrashHistory

# Keeps a datagram within the usual packet size.
_MAX_FEATURES_PER_DATAGRAM: Final = 6
# A crash at which requests of this host had more features than this is described by
# those with the most crashes.
_MAX_FEATURES_PER_BATCH: Final = 192
_GOSSIP_INTERVAL_SECONDS: Final = 1.0
_GOSSIP_HOSTS: Final = 2
# Features with the most crashes are repeated first, in as many datagrams as this.
_GOSSIP_DATAGRAMS: Final = 2
# Evidence is repeated for this long after the latest crash, and as long as it refuses
# requests.
_GOSSIP_SECONDS: Final = 60.0


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
        send_datagram: Callable[[bytes, str], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._view = view
        self._history = history
        self._send_datagram = send_datagram
        self._clock = clock
        self._rng = rng
        self._pending: dict[RequestFeature, None] = {}

    def announce(self, features: Iterable[RequestFeature]) -> None:
        """Send what is known about some features to all hosts.

        Evidence from one iteration of the event loop is sent together.
        """
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._announce_pending)
        self._pending.update(dict.fromkeys(features))

    def announce_isolation(self, notice: IsolationNotice) -> None:
        """Send a notice about an isolated run to all hosts."""
        data = encode_isolation_notice(notice)
        for host in self._other_hosts():
            self._send_datagram(data, host.address)

    async def run(self) -> None:
        """Repeat what is known to a few hosts periodically, until cancelled."""
        while True:
            await asyncio.sleep(_GOSSIP_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2))
            self._history.expire(self._clock())
            if self._history.count:
                self._repeat()

    def _announce_pending(self) -> None:
        features, self._pending = self._pending, {}
        ranked = sorted(features, key=self._history.crash_count, reverse=True)
        first = ranked[:_MAX_FEATURES_PER_BATCH]
        self._send(list(self._evidence_of(first)), self._other_hosts())

    def _repeat(self) -> None:
        hosts = self._other_hosts()
        chosen = self._rng.sample(hosts, min(_GOSSIP_HOSTS, len(hosts)))
        current = (
            item
            for item in self._evidence_of(self._history.by_importance())
            if item.seconds_ago < _GOSSIP_SECONDS
            or item.feature in self._history.causes
        )
        limit = _GOSSIP_DATAGRAMS * _MAX_FEATURES_PER_DATAGRAM
        self._send(list(islice(current, limit)), chosen)

    def _evidence_of(
        self, features: Iterable[RequestFeature]
    ) -> Iterator[CrashEvidence]:
        now = self._clock()
        for feature in features:
            evidence = self._history.evidence_of(feature, now)
            if evidence is not None:
                yield evidence

    def _send(
        self, evidence: Sequence[CrashEvidence], hosts: Sequence[HostMembership]
    ) -> None:
        for start in range(0, len(evidence), _MAX_FEATURES_PER_DATAGRAM):
            part = tuple(evidence[start : start + _MAX_FEATURES_PER_DATAGRAM])
            data = encode_crash_report(CrashReport(self._membership.host, part))
            for host in hosts:
                self._send_datagram(data, host.address)

    def _other_hosts(self) -> list[HostMembership]:
        own = self._membership.host
        return [host for host in self._view.hosts.values() if host.host != own]
