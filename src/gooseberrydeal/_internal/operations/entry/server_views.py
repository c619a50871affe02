"""Combine the reports on servers with the requests sent to them since."""

from collections import Counter

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.ids import AdapterName, VersionName
from gooseberrydeal._internal.models.messages.copy_report import CopyReport
from gooseberrydeal._internal.models.messages.server_report import ServerReport
from gooseberrydeal._internal.models.messages.slots_report import SlotsReport
from gooseberrydeal._internal.models.server_view import ServerView
from gooseberrydeal._internal.operations.entry.entry_context import EntryContext


class ServerViews:
    """Provide a view of each server with this entry's requests since its last report.

    A report cannot include requests that were sent after it. Counting them here avoids
    sending too many requests to a server between two of its reports.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._sent_since_report: Counter[str] = Counter()
        self._report_versions: dict[str, tuple[int, int, int]] = {}
        self._cached_views: dict[str, ServerView] = {}

    def note_sent(self, server: str) -> None:
        """Count a request sent to a server since the server's last report."""
        self._sent_since_report[server] += 1

    def of_service(self, service: str) -> list[ServerView]:
        """Return the servers of a service that accept requests."""
        configuration = self._context.configuration()
        if configuration is None:
            return []
        now = self._context.clock.monotonic()
        views = []
        for report in self._context.view.usable_servers(now):
            declared = configuration.server(report.server)
            if declared is None or declared.service != service:
                continue
            if declared.state != "leaving":
                views.append(self._view(report, declared))
        return views

    def _view(self, report: ServerReport, declared: BackendServer) -> ServerView:
        slots = self._context.view.slots.get(report.server)
        slots_version = slots.sequence if slots is not None else 0
        version = (report.epoch, report.sequence, slots_version)
        if self._report_versions.get(report.server) != version:
            self._report_versions[report.server] = version
            self._sent_since_report[report.server] = 0
            self._cached_views[report.server] = _build_view(report, slots, declared)
        cached = self._cached_views[report.server]
        outstanding = self._sent_since_report[report.server]
        if outstanding == 0:
            return cached
        return ServerView(
            cached.server,
            cached.domain,
            cached.owner,
            cached.owner_address,
            cached.running,
            cached.queued,
            outstanding,
            cached.concurrency,
            cached.wait_seconds,
            cached.slowdown,
            cached.victim_demand,
            cached.ready,
            cached.loading,
        )


def _build_view(
    report: ServerReport, slots: SlotsReport | None, declared: BackendServer
) -> ServerView:
    copies = slots.copies if slots and slots.epoch == report.epoch else ()
    return ServerView(
        server=report.server,
        domain=declared.domain,
        owner=report.owner,
        owner_address=report.owner_address,
        running=report.running,
        queued=report.queued,
        outstanding=0,
        concurrency=max(1, report.concurrency),
        wait_seconds=report.wait_seconds,
        slowdown=max(1.0, report.slowdown),
        victim_demand=report.victim_demand,
        ready=_adapters_of(copies, is_ready=True),
        loading=_adapters_of(copies, is_ready=False),
    )


def _adapters_of(
    copies: tuple[CopyReport, ...], *, is_ready: bool
) -> frozenset[AdapterRef]:
    return frozenset(
        AdapterRef(AdapterName(copy.adapter), VersionName(copy.version))
        for copy in copies
        if copy.is_ready is is_ready
    )
