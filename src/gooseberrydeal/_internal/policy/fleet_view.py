"""Maintain the latest reports of all hosts and servers."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final, Protocol, TypeVar

from gooseberrydeal._internal.models.messages.host_report import HostReport
from gooseberrydeal._internal.models.messages.server_report import ServerReport
from gooseberrydeal._internal.models.messages.slots_report import SlotsReport
from gooseberrydeal._internal.models.messages.view_update import ViewUpdate

_HOST_TIMEOUT_SECONDS: Final = 4.0
_MAX_CROSS_DOMAIN_INTERVAL_SECONDS: Final = 5.0
_CROSS_DOMAIN_INTERVAL_SECONDS_PER_HOST: Final = 0.03
_SUMMARY_WAIT_STEP_SECONDS: Final = 0.5

HostFilter = Callable[[HostReport], bool]
ServerFilter = Callable[[str], bool]


class _VersionedReport(Protocol):
    """A report on one server; a higher ``(epoch, sequence)`` is newer."""

    @property
    def server(self) -> str: ...

    @property
    def epoch(self) -> int: ...

    @property
    def sequence(self) -> int: ...


_Report = TypeVar("_Report", bound=_VersionedReport)


@dataclass(slots=True)
class SentVersions:
    """Record the report versions last sent to one neighbour, by host or server.

    ``summaries`` holds the server summaries sent to another failure domain.
    """

    hosts: dict[str, tuple[float, int]] = field(default_factory=dict)
    servers: dict[str, tuple[int, int]] = field(default_factory=dict)
    slots: dict[str, tuple[int, int]] = field(default_factory=dict)
    summaries: dict[str, tuple[object, ...]] = field(default_factory=dict)


class FleetView:
    """Keep the newest report of each host and server.

    Only the reporting host assigns versions, so reports may arrive out of order, more
    than once or over several paths.

    Times are monotonic seconds. An empty ``domain`` disables the longer timeout for
    hosts of other failure domains.
    """

    def __init__(self, domain: str = "") -> None:
        self._domain = domain
        self._hosts: dict[str, HostReport] = {}
        self._servers: dict[str, ServerReport] = {}
        self._slots: dict[str, SlotsReport] = {}
        self._holders: dict[tuple[str, str], set[str]] = {}
        self._host_seen_at: dict[str, float] = {}

    @property
    def hosts(self) -> Mapping[str, HostReport]:
        """Return the newest report of each host."""
        return self._hosts

    @property
    def servers(self) -> Mapping[str, ServerReport]:
        """Return the newest report of each server."""
        return self._servers

    @property
    def slots(self) -> Mapping[str, SlotsReport]:
        """Return the newest adapter report of each server."""
        return self._slots

    def merge(self, update: ViewUpdate, now: float) -> bool:
        """Merge newer reports; return whether they should be forwarded promptly.

        Changes of a server's availability, of its slow state or of its adapters are
        urgent, and so are new servers. Mere load changes can wait for the next
        periodic report.
        """
        is_urgent = False
        for host in update.hosts:
            self._merge_host(host, now)
        for server in update.servers:
            known = self._servers.get(server.server)
            if _is_newer(server, self._servers):
                self._servers[server.server] = server
                is_urgent |= known is None or _is_availability_change(known, server)
        for slots in update.slots:
            if _is_newer(slots, self._slots):
                self._apply_slots(slots)
                is_urgent = True
        return is_urgent

    def holders(self, adapter: str, version: str) -> set[str]:
        """Return the servers on which an adapter version is ready to serve."""
        return self._holders.get((adapter, version), set())

    def live_hosts(self, now: float) -> list[HostReport]:
        """Return the reports of live hosts that are not leaving."""
        return [
            report
            for name, report in self._hosts.items()
            if not report.is_leaving and self.is_live(name, now)
        ]

    def is_live(self, host: str, now: float) -> bool:
        """Return whether a host has reported within its silence timeout."""
        seen = self._host_seen_at.get(host)
        return seen is not None and now - seen <= self._silence_timeout(host)

    def cross_domain_interval_seconds(self) -> float:
        """Return the interval in seconds of reports between failure domains.

        It grows with the number of hosts, up to a maximum, to keep the cost per node
        constant.
        """
        return min(
            _MAX_CROSS_DOMAIN_INTERVAL_SECONDS,
            len(self._hosts) * _CROSS_DOMAIN_INTERVAL_SECONDS_PER_HOST,
        )

    def usable_servers(self, now: float) -> list[ServerReport]:
        """Return the reports of servers that accept requests and have a live owner."""
        return [
            report
            for name, report in self._servers.items()
            if report.accepts and self.is_live(report.owner, now)
        ]

    def delta(
        self,
        sent: SentVersions,
        keep_host: HostFilter,
        keep_server: ServerFilter,
        keep_slots: ServerFilter | None = None,
    ) -> ViewUpdate | None:
        """Return the reports not yet sent to a neighbour, and record them as sent.

        The filters select the reports that the neighbour is to receive; ``keep_slots``
        defaults to ``keep_server``. Returns ``None`` if there is nothing to send.
        """
        hosts = []
        for name, host in self._hosts.items():
            version = (host.incarnation, host.sequence)
            if sent.hosts.get(name) != version and keep_host(host):
                sent.hosts[name] = version
                hosts.append(host)
        servers = _unsent(self._servers, sent.servers, keep_server)
        slots = _unsent(self._slots, sent.slots, keep_slots or keep_server)
        if not hosts and not servers and not slots:
            return None
        return ViewUpdate(tuple(hosts), tuple(servers), tuple(slots))

    def _silence_timeout(self, host: str) -> float:
        # Reports from other failure domains arrive less often.
        if not self._domain or self._hosts[host].domain == self._domain:
            return _HOST_TIMEOUT_SECONDS
        return _HOST_TIMEOUT_SECONDS + 3 * self.cross_domain_interval_seconds()

    def has_new_summary(self, sent: SentVersions, server: str) -> bool:
        """Return whether a server's summary changed since it was last sent.

        The new summary is recorded as sent. Other failure domains only need to know
        whether a server is usable and its approximate wait, not every load change.
        """
        report = self._servers.get(server)
        if report is None:
            return True
        summary = (
            report.epoch,
            report.accepts,
            report.slowdown > 1.0,
            round(report.wait_seconds / _SUMMARY_WAIT_STEP_SECONDS),
            report.victim_demand is None,
        )
        if sent.summaries.get(server) == summary:
            return False
        sent.summaries[server] = summary
        return True

    def _merge_host(self, report: HostReport, now: float) -> None:
        known = self._hosts.get(report.host)
        if known is not None and (known.incarnation, known.sequence) >= (
            report.incarnation,
            report.sequence,
        ):
            return
        self._hosts[report.host] = report
        self._host_seen_at[report.host] = now

    def _apply_slots(self, report: SlotsReport) -> None:
        before = self._slots.get(report.server)
        for copy in before.copies if before is not None else ():
            holders = self._holders.get((copy.adapter, copy.version))
            if holders is not None:
                holders.discard(report.server)
                if not holders:
                    del self._holders[copy.adapter, copy.version]
        self._slots[report.server] = report
        for copy in report.copies:
            if copy.is_ready:
                key = (copy.adapter, copy.version)
                self._holders.setdefault(key, set()).add(report.server)


def _is_availability_change(before: ServerReport, after: ServerReport) -> bool:
    was_slow, is_slow = before.slowdown > 1.0, after.slowdown > 1.0
    return before.accepts != after.accepts or was_slow != is_slow


def _is_newer(report: _VersionedReport, known: Mapping[str, _Report]) -> bool:
    old = known.get(report.server)
    return old is None or (old.epoch, old.sequence) < (report.epoch, report.sequence)


def _unsent(
    reports: Mapping[str, _Report],
    sent: dict[str, tuple[int, int]],
    keep: ServerFilter,
) -> list[_Report]:
    unsent = []
    for name, report in reports.items():
        version = (report.epoch, report.sequence)
        if sent.get(name) != version and keep(name):
            sent[name] = version
            unsent.append(report)
    return unsent
