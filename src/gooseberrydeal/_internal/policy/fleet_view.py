"""Merge reports on hosts and servers."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final, Protocol, TypeVar

from gooseberrydeal._internal.models.messages.host_report import HostReport
from gooseberrydeal._internal.models.messages.server_report import ServerReport
from gooseberrydeal._internal.models.messages.slots_report import SlotsReport
from gooseberrydeal._internal.models.messages.view_update import ViewUpdate

HOST_SILENT_SECONDS: Final = 4.0
_MOST_FAR_SECONDS: Final = 5.0
_FAR_SECONDS_A_HOST: Final = 0.03
_OUTLINE_SECONDS: Final = 0.5

HostFilter = Callable[[HostReport], bool]
ServerFilter = Callable[[str], bool]


class _OfServer(Protocol):
    @property
    def server(self) -> str: ...

    @property
    def epoch(self) -> int: ...

    @property
    def sequence(self) -> int: ...


_Report = TypeVar("_Report", bound=_OfServer)


@dataclass(slots=True)
class Marks:
    """Remember which versions a neighbour has been sent."""

    hosts: dict[str, tuple[float, int]] = field(default_factory=dict)
    servers: dict[str, tuple[int, int]] = field(default_factory=dict)
    slots: dict[str, tuple[int, int]] = field(default_factory=dict)
    outlines: dict[str, tuple[object, ...]] = field(default_factory=dict)


class FleetView:
    """Keep the newest report of each host and server.

    Versions come from the reporter alone, so reports may arrive in any order, twice
    or over several ways.
    """

    def __init__(self, domain: str = "") -> None:
        self._domain = domain
        self._hosts: dict[str, HostReport] = {}
        self._servers: dict[str, ServerReport] = {}
        self._slots: dict[str, SlotsReport] = {}
        self._holders: dict[tuple[str, str], set[str]] = {}
        self._hosts_seen: dict[str, float] = {}

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
        """Return the newest report of each server's adapters."""
        return self._slots

    def merge(self, update: ViewUpdate, now: float) -> bool:
        """Take newer reports over; return whether others should learn of them soon.

        That is so where a server begins or ceases to be of use, or holds other
        adapters; what only changes its load can wait.
        """
        is_urgent = False
        for host in update.hosts:
            self._merge_host(host, now)
        for server in update.servers:
            known = self._servers.get(server.server)
            if _is_newer(server, self._servers):
                self._servers[server.server] = server
                is_urgent |= known is None or _is_turning(known, server)
        for slots in update.slots:
            if _is_newer(slots, self._slots):
                self._take_slots(slots)
                is_urgent = True
        return is_urgent

    def holders(self, adapter: str, version: str) -> set[str]:
        """Return the servers that have an adapter ready."""
        return self._holders.get((adapter, version), set())

    def live_hosts(self, now: float) -> list[HostReport]:
        """Return the hosts heard of lately that do not leave."""
        return [
            report
            for name, report in self._hosts.items()
            if not report.is_leaving and self.is_live(name, now)
        ]

    def is_live(self, host: str, now: float) -> bool:
        """Return whether a host was heard of lately."""
        seen = self._hosts_seen.get(host)
        return seen is not None and now - seen <= self._patience(host)

    def far_seconds(self) -> float:
        """Return how often reports pass between failure domains.

        They are rarer in a larger fleet, so that the cost of a node stays flat.
        """
        return min(_MOST_FAR_SECONDS, len(self._hosts) * _FAR_SECONDS_A_HOST)

    def usable_servers(self, now: float) -> list[ServerReport]:
        """Return the reports of servers that accept work and whose owner is heard."""
        return [
            report
            for name, report in self._servers.items()
            if report.accepts and self.is_live(report.owner, now)
        ]

    def delta(
        self,
        marks: Marks,
        keep_host: HostFilter,
        keep_server: ServerFilter,
        keep_slots: ServerFilter | None = None,
    ) -> ViewUpdate | None:
        """Return what a neighbour has not been sent, and mark it as sent."""
        hosts = []
        for name, host in self._hosts.items():
            version = (host.incarnation, host.sequence)
            if marks.hosts.get(name) != version and keep_host(host):
                marks.hosts[name] = version
                hosts.append(host)
        servers = _unsent(self._servers, marks.servers, keep_server)
        slots = _unsent(self._slots, marks.slots, keep_slots or keep_server)
        if not hosts and not servers and not slots:
            return None
        return ViewUpdate(tuple(hosts), tuple(servers), tuple(slots))

    def _patience(self, host: str) -> float:
        if not self._domain or self._hosts[host].domain == self._domain:
            return HOST_SILENT_SECONDS
        return HOST_SILENT_SECONDS + 3 * self.far_seconds()

    def has_new_outline(self, marks: Marks, server: str) -> bool:
        """Return whether a server looks different from afar since it was last sent.

        Another failure domain needs to know whether a server is of use, not how its
        load changes from one moment to the next.
        """
        report = self._servers.get(server)
        if report is None:
            return True
        outline = (
            report.epoch,
            report.accepts,
            report.slowdown > 1.0,
            round(report.wait_seconds / _OUTLINE_SECONDS),
            report.victim_demand is None,
        )
        if marks.outlines.get(server) == outline:
            return False
        marks.outlines[server] = outline
        return True

    def _merge_host(self, report: HostReport, now: float) -> None:
        known = self._hosts.get(report.host)
        if known is not None and (known.incarnation, known.sequence) >= (
            report.incarnation,
            report.sequence,
        ):
            return
        self._hosts[report.host] = report
        self._hosts_seen[report.host] = now

    def _take_slots(self, report: SlotsReport) -> None:
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


def _is_turning(before: ServerReport, after: ServerReport) -> bool:
    was_slow, is_slow = before.slowdown > 1.0, after.slowdown > 1.0
    return before.accepts != after.accepts or was_slow != is_slow


def _is_newer(report: _OfServer, known: Mapping[str, _Report]) -> bool:
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
