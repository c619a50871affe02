"""Exchange reports with the other hosts."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.usage_report import (
    EngineUsage,
    UsageReport,
)
from gooseberrydeal._internal.network.datagram_socket import DatagramSocket
from gooseberrydeal._internal.network.report_codec import encode_status, encode_usage
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.engine_ownership import EngineOwnership
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable

# New wants are collected this long before they are sent.
_COLLECT_SECONDS: Final = 0.002
# Owners learn of a change of this host's unread prompt tokens by more than this.
_DRIFT_TOKENS: Final = 500
# With so few slots to give, owners learn at once of copies out of use.
_FEW_SLOTS: Final = 2
# Engines in one datagram, to stay below the usual packet size.
_ENGINES_A_DATAGRAM: Final = 4


class ReportExchange:
    """Tell owners what this host uses, and all hosts what its engines hold."""

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
        self._socket = DatagramSocket(self._received)
        self._sequence = 0
        self._urgent: set[ServerRecord] = set()
        self._reported_pace: dict[ServerId, float] = {}
        self._reported_unread: dict[ServerId, int] = {}
        self._heard: dict[HostId, tuple[int, int]] = {}

    def serve(self, ownership: EngineOwnership) -> None:
        """Pass usage on to the owners of this host's engines."""
        self._ownership = ownership

    async def open(self) -> None:
        """Bind the socket, or raise ``OSError``."""
        await self._socket.open(self._membership.address)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def run(self) -> None:
        """Report this host's use of engines regularly."""
        while True:
            self._report(
                record
                for record in self._servers.records
                if record.service.engine is not None
            )
            await asyncio.sleep(self._view.periods.report)

    def want(self, record: ServerRecord) -> None:
        """Tell an engine's owner of a new want soon."""
        if not self._urgent:
            loop = asyncio.get_running_loop()
            loop.call_later(_COLLECT_SECONDS, self._report_urgent)
        self._urgent.add(record)

    def used(self, record: ServerRecord) -> None:
        """Tell an engine's owner soon if the queue of prompts there has changed."""
        reported = self._reported_unread.get(record.id, 0)
        has_new_pace = record.load.pace != self._reported_pace.get(record.id, 1.0)
        has_drifted = abs(record.load.own_unread - reported) > _DRIFT_TOKENS
        if has_drifted or has_new_pace:
            self.want(record)

    def freed(self, record: ServerRecord) -> None:
        """Tell an engine's owner of a copy out of use if slots are scarce there."""
        if record.spare_slots <= _FEW_SLOTS:
            self.want(record)

    def publish(self, status: EngineStatus) -> None:
        """Tell all hosts what an engine holds."""
        self._take_status(status)
        data = encode_status(status)
        for host in self._view.hosts.values():
            if host.host != self._membership.host:
                self._socket.send(data, host.address)

    def _report_urgent(self) -> None:
        records, self._urgent = self._urgent, set()
        self._report(records)

    def _report(self, records: Iterable[ServerRecord]) -> None:
        now = self._clock()
        by_owner: dict[HostId, list[EngineUsage]] = {}
        for record in records:
            claim = self._view.owners.get(record.id)
            if claim is not None:
                usage = record.usage(now)
                self._reported_unread[record.id] = usage.unread_tokens
                self._reported_pace[record.id] = usage.pace
                by_owner.setdefault(claim.owner, []).append(usage)
        for owner, usages in by_owner.items():
            self._tell(owner, usages)

    def _tell(self, owner: HostId, usages: list[EngineUsage]) -> None:
        if owner == self._membership.host:
            for usage in usages:
                self._take_usage(owner, usage)
            return
        host = self._view.hosts.get(owner)
        if host is None:
            return
        for begin in range(0, len(usages), _ENGINES_A_DATAGRAM):
            self._sequence += 1
            report = UsageReport(
                self._membership.host,
                self._membership.incarnation,
                self._sequence,
                tuple(usages[begin : begin + _ENGINES_A_DATAGRAM]),
            )
            self._socket.send(encode_usage(report), host.address)

    def _received(self, report: UsageReport | EngineStatus) -> None:
        if isinstance(report, EngineStatus):
            self._take_status(report)
            return
        known = self._heard.get(report.host)
        newest = (report.incarnation, report.sequence)
        if known is not None and known[0] == newest[0] and known[1] >= newest[1]:
            return
        self._heard[report.host] = newest
        for usage in report.engines:
            self._take_usage(report.host, usage)

    def _take_usage(self, host: HostId, usage: EngineUsage) -> None:
        if self._ownership is None:
            return
        owner = self._ownership.owners.get(usage.server)
        if owner is not None:
            owner.apply_usage(host, usage)

    def _take_status(self, status: EngineStatus) -> None:
        if self._servers.apply_status(status):
            for copy in status.copies:
                self._signal.notify(copy.key)
