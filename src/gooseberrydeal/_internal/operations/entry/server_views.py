"""Join reports on servers with what was sent to them since."""

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
    """Correct each report by own requests that it does not show yet."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._unreported: Counter[str] = Counter()
        self._reports: dict[str, tuple[int, int, int]] = {}
        self._cached: dict[str, ServerView] = {}

    def sent(self, server: str) -> None:
        """Note a request that was sent to a server."""
        self._unreported[server] += 1

    def of_service(self, service: str) -> list[ServerView]:
        """Return the servers of a service that may be used."""
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
        if self._reports.get(report.server) != version:
            self._reports[report.server] = version
            self._unreported[report.server] = 0
            self._cached[report.server] = _view_of(report, slots, declared)
        cached = self._cached[report.server]
        outstanding = self._unreported[report.server]
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


def _view_of(
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
        ready=_adapters(copies, is_ready=True),
        loading=_adapters(copies, is_ready=False),
    )


def _adapters(
    copies: tuple[CopyReport, ...], *, is_ready: bool
) -> frozenset[AdapterRef]:
    return frozenset(
        AdapterRef(AdapterName(copy.adapter), VersionName(copy.version))
        for copy in copies
        if copy.is_ready is is_ready
    )
