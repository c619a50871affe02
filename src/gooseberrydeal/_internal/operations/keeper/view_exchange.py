"""Exchange reports with other keepers and with entries."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterable
from typing import Final

from gooseberrydeal._internal.exceptions import PeerLostError, PeerUnreachableError
from gooseberrydeal._internal.models.host_record import HostRecord
from gooseberrydeal._internal.models.messages.host_report import HostReport
from gooseberrydeal._internal.models.messages.view_update import ViewUpdate
from gooseberrydeal._internal.network.codec import encode
from gooseberrydeal._internal.network.peer_connection import PeerConnection
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.peers import Peers
from gooseberrydeal._internal.policy.fleet_view import SentVersions
from gooseberrydeal._internal.utils import rendezvous
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

CARRIERS_PER_PAIR: Final = 1
_LEAST_REPORT_SECONDS: Final = 0.2
_REPORT_SECONDS_A_HOST: Final = 0.02
_HOST_REPORT_SECONDS: Final = 1.0
_FLUSH_SECONDS: Final = 0.01
_DIAL_SECONDS: Final = 1.0
_DIAL_PATIENCE_SECONDS: Final = 4.0

MakeHost = Callable[[int], HostReport]
MakeServers = Callable[[], ViewUpdate]


class ViewExchange:
    """Send each neighbour what it has not been sent.

    Within a failure domain every keeper sends its own reports to every other. For
    each pair of domains one host on either side carries the reports of its domain
    across, less often in a larger fleet, and passes the other's on. So a node's
    connections grow with its domain and not with the fleet.
    """

    def __init__(
        self,
        context: KeeperContext,
        peers: Peers,
        seeds: tuple[str, ...],
        make_host: MakeHost,
        make_servers: MakeServers,
    ) -> None:
        self._context = context
        self._peers = peers
        self._seeds = seeds
        self._make_host = make_host
        self._make_servers = make_servers
        self._marks: dict[PeerConnection, SentVersions] = {}
        self._sent_far_at: dict[PeerConnection, float] = {}
        self._sequence = 0
        self._urgent = asyncio.Event()
        self._listed: dict[str, str] = {}
        self._first_seen: dict[str, float] = {}
        self._tasks = TaskOwner()

    def start(self) -> None:
        """Begin to exchange."""
        self._tasks.start(self._report(), "report")
        self._tasks.start(self._report_host(), "report host")
        self._tasks.start(self._dial(), "dial peers")

    async def stop(self) -> None:
        """End."""
        await self._tasks.stop()

    def flush_soon(self) -> None:
        """Send reports without waiting for their turn."""
        self._urgent.set()

    def note_news(self) -> None:
        """Pass on what peers have reported, if someone depends on this host for it."""
        if self._peers.with_role("entry") or self.is_relay():
            self._urgent.set()

    async def announce(self) -> None:
        """Send this host's report to all neighbours at once."""
        self._note_host()
        await self._flush()

    def learn_hosts(self, hosts: Iterable[HostRecord]) -> None:
        """Learn from the platform which keepers of this failure domain to dial."""
        self._listed = {host.host: host.address for host in hosts}

    def is_relay(self) -> bool:
        """Return whether this host passes reports between failure domains."""
        own = self._context.domain
        return any(
            self._context.host in self._carriers(own, other)
            for other in self._domains()
            if other != own
        )

    def _domains(self) -> set[str]:
        return {report.domain for report in self._context.view.hosts.values()}

    def _carriers(self, domain: str, other: str) -> list[str]:
        """Return the hosts of a domain that exchange reports with another one."""
        now = self._context.clock.monotonic()
        live = {
            report.host
            for report in self._context.view.live_hosts(now)
            if report.domain == domain
        }
        if domain == self._context.domain:
            live.add(self._context.host)
        pair = "|".join(sorted((domain, other)))
        return rendezvous.ranked(pair, live)[:CARRIERS_PER_PAIR]

    async def _report(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._pause()):
                    await self._urgent.wait()
                    await asyncio.sleep(_FLUSH_SECONDS)
            self._urgent.clear()
            now = self._context.clock.monotonic()
            self._context.view.merge(self._make_servers(), now)
            await self._flush()

    def _pause(self) -> float:
        """Report less often in a large failure domain, so that costs stay flat."""
        own = self._context.domain
        hosts = sum(1 for r in self._context.view.hosts.values() if r.domain == own)
        return max(_LEAST_REPORT_SECONDS, hosts * _REPORT_SECONDS_A_HOST)

    async def _report_host(self) -> None:
        while True:
            self._note_host()
            await asyncio.sleep(_HOST_REPORT_SECONDS)

    def _note_host(self) -> None:
        self._sequence += 1
        update = ViewUpdate(hosts=(self._make_host(self._sequence),))
        self._context.view.merge(update, self._context.clock.monotonic())

    async def _flush(self) -> None:
        connections = self._neighbours()
        self._marks = {c: m for c, m in self._marks.items() if c in connections}
        self._sent_far_at = {
            c: at for c, at in self._sent_far_at.items() if c in connections
        }
        is_relay = self.is_relay()
        encoded: dict[tuple[int, ...], bytes] = {}
        sends = []
        for connection in connections:
            if not self._is_due(connection):
                continue
            marks = self._marks.setdefault(connection, SentVersions())
            update = self._delta_for(connection, marks, is_relay=is_relay)
            if update is None:
                continue
            key = _identity(update)
            if key not in encoded:
                encoded[key] = encode(update)
            sends.append(self._send(connection, encoded[key]))
        if sends:
            await asyncio.gather(*sends)

    def _is_due(self, connection: PeerConnection) -> bool:
        """Return whether a neighbour in another domain is to be sent reports now."""
        peer = connection.peer
        if peer is None or peer.role != "keeper" or peer.domain == self._context.domain:
            return True
        now = self._context.clock.monotonic()
        last = self._sent_far_at.get(connection, float("-inf"))
        if now - last < self._context.view.cross_domain_interval_seconds():
            return False
        self._sent_far_at[connection] = now
        return True

    def _neighbours(self) -> list[PeerConnection]:
        return [
            *self._peers.with_role("keeper"),
            *self._peers.with_role("entry"),
            *self._peers.with_role("ctl"),
        ]

    def _delta_for(
        self, connection: PeerConnection, marks: SentVersions, *, is_relay: bool
    ) -> ViewUpdate | None:
        peer = connection.peer
        view = self._context.view
        if peer is None:
            return None
        if peer.role != "keeper":
            return view.delta(marks, lambda host: True, lambda server: True)
        own = self._context.domain
        if peer.domain == own:
            return view.delta(
                marks,
                lambda host: (
                    self._is_own(host.host) or (is_relay and host.domain != own)
                ),
                lambda server: (
                    self._is_owned(server)
                    or (is_relay and self._domain_of(server) != own)
                ),
            )
        return view.delta(
            marks,
            lambda host: self._is_own(host.host) or (is_relay and host.domain == own),
            lambda server: (
                self._is_of_domain(server, is_relay=is_relay)
                and view.has_new_summary(marks, server)
            ),
            lambda server: self._is_of_domain(server, is_relay=is_relay),
        )

    def _is_of_domain(self, server: str, *, is_relay: bool) -> bool:
        """Return whether a server's reports are sent to other failure domains."""
        if self._is_owned(server):
            return True
        return is_relay and self._domain_of(server) == self._context.domain

    def _is_own(self, host: str) -> bool:
        return host == self._context.host

    def _is_owned(self, server: str) -> bool:
        report = self._context.view.servers.get(server)
        return report is not None and report.owner == self._context.host

    def _domain_of(self, server: str) -> str:
        """Return the failure domain of a server's owner."""
        report = self._context.view.servers.get(server)
        host = self._context.view.hosts.get(report.owner) if report else None
        return "" if host is None else host.domain

    async def _send(self, connection: PeerConnection, update: bytes) -> None:
        with contextlib.suppress(PeerLostError):
            await connection.send_encoded(update)

    async def _dial(self) -> None:
        while True:
            for address in self._wanted_addresses():
                with contextlib.suppress(PeerUnreachableError):
                    await self._peers.dialer.connection(address)
            await asyncio.sleep(_DIAL_SECONDS)

    def _wanted_addresses(self) -> list[str]:
        connected = {
            connection.peer.host
            for connection in self._peers.connections()
            if connection.peer is not None and connection.peer.role == "keeper"
        }
        known = {**self._listed, **self._reported_addresses()}
        now = self._context.clock.monotonic()
        wanted = {
            address
            for host, address in known.items()
            if host not in connected and not self._awaits_dial(host, now)
        }
        unnamed = set(self._seeds) - set(known.values())
        return sorted((wanted | unnamed) - {self._context.address})

    def _reported_addresses(self) -> dict[str, str]:
        """Return the hosts that this one should be connected to."""
        own = self._context.domain
        return {
            report.host: report.address
            for report in self._context.view.hosts.values()
            if not report.is_leaving
            and (report.domain == own or self._is_counterpart(report))
        }

    def _is_counterpart(self, report: HostReport) -> bool:
        """Return whether this host and another carry for their two domains."""
        own, other = self._context.domain, report.domain
        return (
            other != own
            and self._context.host in self._carriers(own, other)
            and report.host in self._carriers(other, own)
        )

    def _awaits_dial(self, host: str, now: float) -> bool:
        """Leave the first dial to the lower name, so that a pair has one connection."""
        if host >= self._context.host:
            return False
        first_seen = self._first_seen.setdefault(host, now)
        return now - first_seen < _DIAL_PATIENCE_SECONDS


def _identity(update: ViewUpdate) -> tuple[int, ...]:
    """Tell updates of the same reports apart from others without comparing them."""
    return tuple(id(item) for item in (*update.hosts, *update.servers, *update.slots))
