"""Report the state of a server when it changes."""

from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.messages.copy_report import CopyReport
from gooseberrydeal._internal.models.messages.server_report import ServerReport
from gooseberrydeal._internal.models.messages.slots_report import SlotsReport
from gooseberrydeal._internal.operations.keeper.job_table import JobTable
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.policy.pace_tracker import LatencyTracker

_REFRESH_INTERVAL_SECONDS: Final = 5.0


class ServerReporter:
    """Number the reports of one ownership, and omit those without changes."""

    def __init__(self, server: str, epoch: int) -> None:
        self._server = server
        self._epoch = epoch
        self._sequence = 0
        self._copies: tuple[CopyReport, ...] | None = None
        self._last: ServerReport | None = None
        self._last_sent_at = 0.0

    def report(self, draft: ServerReport, now: float) -> ServerReport | None:
        """Return the numbered draft, ``None`` if it repeats a recent report.

        An unchanged report is repeated every ``_REFRESH_INTERVAL_SECONDS``.
        """
        last = self._last
        is_unchanged = last is not None and (
            replace(draft, epoch=self._epoch, sequence=last.sequence) == last
        )
        if is_unchanged and now - self._last_sent_at < _REFRESH_INTERVAL_SECONDS:
            return None
        self._sequence += 1
        self._last = replace(draft, epoch=self._epoch, sequence=self._sequence)
        self._last_sent_at = now
        return self._last

    def slots(self, copies: tuple[CopyReport, ...]) -> SlotsReport | None:
        """Return a report of the adapter copies, ``None`` if they have not changed."""
        if copies == self._copies:
            return None
        self._copies = copies
        self._sequence += 1
        return SlotsReport(self._server, self._epoch, self._sequence, copies)


def draft_report(
    declared: BackendServer,
    context: KeeperContext,
    jobs: JobTable,
    latency: LatencyTracker,
    *,
    accepts: bool,
    wait_seconds: float,
    demand: float | None,
) -> ServerReport:
    """Return a report without its number.

    Values are rounded so that small fluctuations do not count as changes.
    """
    return ServerReport(
        server=declared.name,
        epoch=0,
        sequence=0,
        owner=context.host,
        owner_address=context.address,
        accepts=accepts,
        running=len(jobs.running),
        queued=jobs.queued,
        concurrency=declared.concurrency,
        wait_seconds=round(wait_seconds, 2),
        slowdown=round(latency.slowdown(context.clock.monotonic()), 1),
        victim_demand=None if demand is None else round(demand, 2),
        first_seconds=round(latency.measured_first, 2),
        gap_seconds=round(latency.measured_gap, 3),
    )
