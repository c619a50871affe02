"""Merge reports on hosts and servers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.messages.host_report import HostReport
from gooseberrydeal._internal.models.messages.server_report import ServerReport
from gooseberrydeal._internal.models.messages.view_update import ViewUpdate

HOST_SILENT_SECONDS: Final = 4.0
SERVER_SILENT_SECONDS: Final = 15.0

HostFilter = Callable[[HostReport], bool]
ServerFilter = Callable[[ServerReport], bool]


@dataclass(slots=True)
class Marks:
    """Remember which versions a neighbour has been sent."""

    hosts: dict[str, tuple[float, int]]
    servers: dict[str, tuple[int, int]]


class FleetView:
    """Keep the newest report of each host and server.

    Versions come from the reporter alone, so reports may arrive in any order, twice
    or over several ways.
    """

    def __init__(self) -> None:
        self._hosts: dict[str, HostReport] = {}
        self._servers: dict[str, ServerReport] = {}
        self._hosts_seen: dict[str, float] = {}
        self._servers_seen: dict[str, float] = {}

    @property
    def hosts(self) -> dict[str, HostReport]:
        """Return the newest report of each host."""
        return self._hosts

    @property
    def servers(self) -> dict[str, ServerReport]:
        """Return the newest report of each server."""
        return self._servers

    def merge(self, update: ViewUpdate, now: float) -> bool:
        """Take newer reports over; return whether there were any."""
        has_changed = False
        for host in update.hosts:
            has_changed |= self._merge_host(host, now)
        for server in update.servers:
            has_changed |= self._merge_server(server, now)
        return has_changed

    def live_hosts(self, now: float) -> list[HostReport]:
        """Return the hosts heard of lately that do not leave."""
        return [
            report
            for name, report in self._hosts.items()
            if not report.is_leaving
            and now - self._hosts_seen[name] <= HOST_SILENT_SECONDS
        ]

    def is_live(self, host: str, now: float) -> bool:
        """Return whether a host was heard of lately."""
        seen = self._hosts_seen.get(host)
        return seen is not None and now - seen <= HOST_SILENT_SECONDS

    def usable_servers(self, now: float) -> list[ServerReport]:
        """Return the reports of servers that accept work and whose owner is heard."""
        return [
            report
            for name, report in self._servers.items()
            if report.accepts
            and now - self._servers_seen[name] <= SERVER_SILENT_SECONDS
            and self.is_live(report.owner, now)
        ]

    def forget_host(self, host: str) -> None:
        """Drop a host that is known to be gone."""
        self._hosts.pop(host, None)
        self._hosts_seen.pop(host, None)

    @staticmethod
    def new_marks() -> Marks:
        """Return the marks of a neighbour that has been sent nothing."""
        return Marks({}, {})

    def delta(
        self, marks: Marks, keep_host: HostFilter, keep_server: ServerFilter
    ) -> ViewUpdate | None:
        """Return what a neighbour has not been sent, and mark it as sent."""
        hosts = []
        for name, host in self._hosts.items():
            version = (host.incarnation, host.sequence)
            if marks.hosts.get(name) != version and keep_host(host):
                marks.hosts[name] = version
                hosts.append(host)
        servers = []
        for name, server in self._servers.items():
            stamp = (server.epoch, server.sequence)
            if marks.servers.get(name) != stamp and keep_server(server):
                marks.servers[name] = stamp
                servers.append(server)
        if not hosts and not servers:
            return None
        return ViewUpdate(tuple(hosts), tuple(servers))

    def _merge_host(self, report: HostReport, now: float) -> bool:
        known = self._hosts.get(report.host)
        if known is not None and (known.incarnation, known.sequence) >= (
            report.incarnation,
            report.sequence,
        ):
            return False
        self._hosts[report.host] = report
        self._hosts_seen[report.host] = now
        return True

    def _merge_server(self, report: ServerReport, now: float) -> bool:
        known = self._servers.get(report.server)
        if known is not None and (known.epoch, known.sequence) >= (
            report.epoch,
            report.sequence,
        ):
            return False
        self._servers[report.server] = report
        self._servers_seen[report.server] = now
        return True
