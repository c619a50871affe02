"""Exchange engine usage and status reports with the other hosts."""

import asyncio
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace
from typing import Any, Final, TypeVar

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.usage_report import (
    EngineUsage,
    UsageReport,
    WaitingCount,
)
from gooseberrydeal._internal.network.datagram_socket import DatagramSocket
from gooseberrydeal._internal.network.report_codec import (
    Report,
    encode_status,
    encode_usage,
)
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.lapsed_hosts import LapsedHosts
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.ownership.engine_ownership import (
    EngineOwnership,
)
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.load_change import has_slowdown_changed
from gooseberrydeal._internal.policy.waiting.waiting_totals import WaitingTotals

_ReportT = TypeVar("_ReportT", bound=Report)

# Engines to be reported soon are collected for this long, then reported together.
_BATCH_DELAY_SECONDS: Final = 0.002
# A change by more than this in the prompt tokens of this host that await prefill on an
# engine is reported before the next regular report.
_PREFILL_CHANGE_THRESHOLD_TOKENS: Final = 500
# With this many spare adapter slots or fewer, the release of a copy is reported to the
# engine's owner before the next regular report, since it may then evict that copy.
_SCARCE_SLOTS: Final = 2
# Keeps a datagram within the usual packet size.
_MAX_ENGINES_PER_DATAGRAM: Final = 4


class ReportExchange:
    """Report engine usage to the engines' owners, and engine status to the hosts.

    Each engine is owned by one host, which loads and evicts its adapters. The owner
    bases its decisions on the usage reports of all hosts and sends them the status. In
    large deployments only hosts that use an engine, or ask about it, exchange reports
    with its owner. Owners go on answering hosts that only the store does not reach.
    """

    def __init__(
        self,
        membership: HostMembership,
        view: MetadataView,
        servers: ServerTable,
        signal: ChangeSignal,
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._view = view
        self._servers = servers
        self._signal = signal
        self._clock = clock
        self._ownership: EngineOwnership | None = None
        self._handlers: dict[type[Any], Callable[[Any], None]] = {}
        self._socket = DatagramSocket(self._on_report)
        self._lapsed = LapsedHosts(view, clock)
        self._sequence = 0
        self._pending: set[ServerRecord] = set()
        self._reported_used: set[ServerId] = set()
        self._reported_slowdown: dict[ServerId, float] = {}
        self._reported_pending_prefill: dict[ServerId, int] = {}
        self._last_sequences: dict[HostId, tuple[int, int]] = {}
        self._waiting = WaitingTotals()
        self._own_waiting: Callable[[], tuple[WaitingCount, ...]] = tuple

    def set_waiting(self, waiting: Callable[[], tuple[WaitingCount, ...]]) -> None:
        """Set the function that returns this host's requests that wait."""
        self._own_waiting = waiting

    def set_ownership(self, ownership: EngineOwnership) -> None:
        """Set the object that receives usage reports on engines owned by this host."""
        self._ownership = ownership

    def set_handler(
        self, kind: type[_ReportT], handler: Callable[[_ReportT], None]
    ) -> None:
        """Set the function that receives the reports of a kind.

        Usage reports and engine statuses are handled here.
        """
        self._handlers[kind] = handler

    async def open(self) -> None:
        """Bind the socket; raise ``OSError`` if that fails."""
        await self._socket.open(self._membership.address)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def run(self) -> None:
        """Report this host's usage of all engines periodically, until cancelled."""
        while True:
            self._lapsed.update()
            self._servers.refresh_shares()
            self._report(
                [
                    record
                    for record in self._servers.records
                    if record.service.engine is not None and self._is_due(record)
                ]
            )
            await asyncio.sleep(self._view.periods.report)

    def send(self, data: bytes, address: str) -> None:
        """Send an encoded report to ``IP:port``."""
        self._socket.send(data, address)

    def ask(self, record: ServerRecord) -> None:
        """Report the usage of an engine now; its owner answers with its status."""
        self._report((record,))

    def report_soon(self, record: ServerRecord) -> None:
        """Report the usage of an engine to its owner after a short batching delay."""
        if not self._pending:
            loop = asyncio.get_running_loop()
            loop.call_later(_BATCH_DELAY_SECONDS, self._report_pending)
        self._pending.add(record)

    def usage_changed(self, record: ServerRecord) -> None:
        """Report soon if an engine's pending prefill or slowdown changed enough."""
        reported = self._reported_pending_prefill.get(record.id, 0)
        slowdown_changed = has_slowdown_changed(
            self._reported_slowdown.get(record.id, 1.0),
            record.load.slowdown(self._clock()),
            reports_all=self._view.periods.reports_all,
        )
        pending_prefill_changed = (
            abs(record.load.own_pending_prefill - reported)
            > _PREFILL_CHANGE_THRESHOLD_TOKENS
        )
        if pending_prefill_changed or slowdown_changed:
            self.report_soon(record)

    def copy_released(self, record: ServerRecord) -> None:
        """Report soon that a copy is no longer in use, if adapter slots are scarce."""
        if record.owner.spare_slots <= _SCARCE_SLOTS:
            self.report_soon(record)

    def publish(self, status: EngineStatus, audience: Collection[HostId]) -> None:
        """Send the status of an engine owned by this host to others.

        In small deployments it is sent to all hosts, also to those whose membership
        lapsed a short time ago, in large ones to ``audience``.
        """
        status = self._with_waiting(status)
        self._apply_status(status)
        hosts = self._view.hosts
        names: Iterable[HostId] = audience
        if self._view.periods.reports_all:
            names = {*hosts, *self._lapsed.names}
        data = b""
        for name in names:
            host = hosts.get(name)
            address = self._lapsed.address(name) if host is None else host.address
            if address is not None and name != self._membership.host:
                data = data or encode_status(status)
                self._socket.send(data, address)

    def _with_waiting(self, status: EngineStatus) -> EngineStatus:
        """Return a status of this host's engine with the requests that wait for one."""
        record = self._servers.get(status.server)
        if record is None:
            return status
        waiting = self._waiting.of_service(
            record.entry.service, self._clock(), self._view.periods.host_timeout
        )
        return replace(status, waiting=waiting) if waiting else status

    def _is_due(self, record: ServerRecord) -> bool:
        """Return whether the owner must hear of an engine in this period."""
        return (
            self._view.periods.reports_all
            or record.is_used
            or record.id in self._reported_used
        )

    def _report_pending(self) -> None:
        records, self._pending = self._pending, set()
        self._report(records)

    def _report(self, records: Iterable[ServerRecord]) -> None:
        now = self._clock()
        by_owner: dict[HostId, list[EngineUsage]] = {}
        for record in records:
            owner = self._owner_of(record)
            if owner is not None:
                record.owner.note_asked(now)
                if record.is_used:
                    self._reported_used.add(record.id)
                else:
                    self._reported_used.discard(record.id)
                usage = record.usage(now)
                self._reported_pending_prefill[record.id] = usage.pending_prefill_tokens
                self._reported_slowdown[record.id] = usage.slowdown
                by_owner.setdefault(owner, []).append(usage)
        for owner, usages in by_owner.items():
            self._send_usage(owner, usages)

    def _owner_of(self, record: ServerRecord) -> HostId | None:
        """Return the newest owner of an engine, by the store or by its own status."""
        claim = self._view.owners.get(record.id)
        status = record.owner.status
        if claim is None or status is None:
            return None if claim is None else claim.owner
        is_newer = status.fencing_number > claim.revision
        return status.owner if is_newer else claim.owner

    def _send_usage(self, owner: HostId, usages: list[EngineUsage]) -> None:
        waiting = self._own_waiting()
        if owner == self._membership.host:
            self._waiting.apply(owner, waiting, self._clock())
            for usage in usages:
                self._apply_usage(owner, usage)
            return
        host = self._view.hosts.get(owner)
        if host is None:
            return
        for start in range(0, len(usages), _MAX_ENGINES_PER_DATAGRAM):
            self._sequence += 1
            report = UsageReport(
                self._membership.host,
                self._membership.incarnation,
                self._sequence,
                tuple(usages[start : start + _MAX_ENGINES_PER_DATAGRAM]),
                waiting,
            )
            self._socket.send(encode_usage(report), host.address)

    def _on_report(self, report: Report) -> None:
        if isinstance(report, EngineStatus):
            self._apply_status(report)
            return
        if not isinstance(report, UsageReport):
            handler = self._handlers.get(type(report))
            if handler is not None:
                handler(report)
            return
        known = self._last_sequences.get(report.host)
        current = (report.incarnation, report.sequence)
        if known is not None and known[0] == current[0] and known[1] >= current[1]:
            return
        self._last_sequences[report.host] = current
        self._waiting.apply(report.host, report.waiting, self._clock())
        self._lapsed.note_report(report.host)
        for usage in report.engines:
            self._apply_usage(report.host, usage)

    def _apply_usage(self, host: HostId, usage: EngineUsage) -> None:
        if self._ownership is None:
            return
        owner = self._ownership.owners.get(usage.server)
        if owner is not None:
            owner.apply_usage(host, usage)
            record = self._servers.get(usage.server)
            if record is not None and host != self._membership.host:
                record.speed.observe_reported(usage.observations, self._clock())

    def _apply_status(self, status: EngineStatus) -> None:
        if self._servers.apply_status(status):
            self._signal.notify(status.server)
            for copy in status.copies:
                self._signal.notify(copy.key)
