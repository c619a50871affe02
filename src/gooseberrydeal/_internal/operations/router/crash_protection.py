"""Protect the backend servers from requests that crash them."""

import random
from collections.abc import Callable, Sequence
from typing import Final

from gooseberrydeal._internal.models.routing.crash_report import CrashReport
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.isolation_notice import IsolationNotice
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.crash_detector import CrashDetector
from gooseberrydeal._internal.operations.router.crash_gossip import CrashGossip
from gooseberrydeal._internal.operations.router.crash_guard import CrashGuard
from gooseberrydeal._internal.operations.router.crash_records import CrashRecords
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.report_exchange import ReportExchange
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.suspect_isolation import (
    SuspectIsolation,
)
from gooseberrydeal._internal.policy.crash_history import CrashHistory
from gooseberrydeal._internal.policy.isolation_turns import IsolationTurns
from gooseberrydeal._internal.policy.refusal_trials import RefusalTrials
from gooseberrydeal._internal.utils.tasks import TaskOwner

# Evidence is repeated later, when the server's entry shows what became of it.
_RECENT_CRASH_SECONDS: Final = 1.0


class CrashProtection:
    """Connect the parts that detect crashes, share them and refuse their cause."""

    def __init__(
        self,
        membership: HostMembership,
        store: MetadataStore,
        view: MetadataView,
        servers: ServerTable,
        metrics: RouterMetrics,
        send: Callable[[bytes, str], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        history = CrashHistory()
        self._turns = IsolationTurns()
        self._gossip = CrashGossip(membership, view, history, send, clock, rng)
        self._isolation = SuspectIsolation(
            membership,
            self._turns,
            history,
            servers,
            self._gossip.announce_isolation,
            clock,
            rng,
        )
        self._guard = CrashGuard(
            history,
            self._isolation,
            RefusalTrials(membership.host),
            metrics,
            lambda: view.hosts,
            self._share,
            clock,
        )
        self._detector = CrashDetector(servers, self._guard.note_crash, clock)
        self._records = CrashRecords(
            store, membership, view, history, self._guard.merge, clock
        )
        self._tasks = TaskOwner()
        servers.add_start_listener(self._detector.server_started)

    @property
    def guard(self) -> CrashGuard:
        """Return the part that decides which requests are refused."""
        return self._guard

    @property
    def isolation(self) -> SuspectIsolation:
        """Return the part that runs suspects alone."""
        return self._isolation

    @property
    def turns(self) -> IsolationTurns:
        """Return the isolated runs of all hosts."""
        return self._turns

    @property
    def detector(self) -> CrashDetector:
        """Return the part that detects crashes."""
        return self._detector

    def listen(self, reports: ReportExchange) -> None:
        """Receive the reports about requests that may crash servers."""
        reports.set_handler(CrashReport, self.report_received)
        reports.set_handler(IsolationNotice, self.isolation_notice_received)

    def start(self) -> None:
        """Start sharing evidence with the other hosts."""
        self._tasks.keep_running(self._gossip.run, "crash gossip")
        self._tasks.keep_running(self._records.run, "crash records")
        self._tasks.keep_running(self._isolation.run, "suspect isolation")

    async def stop(self) -> None:
        """Stop sharing evidence."""
        await self._tasks.stop()

    def report_received(self, report: CrashReport) -> None:
        """Take in the evidence that another host sent."""
        for evidence in report.evidence:
            if evidence.seconds_ago < _RECENT_CRASH_SECONDS:
                for crash in evidence.crashes:
                    self._isolation.server_crashed(crash.server)
        self._guard.merge(report.evidence)

    def isolation_notice_received(self, notice: IsolationNotice) -> None:
        """Take in a notice that another host sent."""
        self._isolation.received(notice)

    def record_read(self, item: StoreItem) -> None:
        """Take in a record of the metadata store."""
        self._records.apply(item)

    def _share(self, features: Sequence[RequestFeature]) -> None:
        self._gossip.announce(features)
        self._records.note_evidence(features)
