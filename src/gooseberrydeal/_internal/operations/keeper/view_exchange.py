"""Exchange reports with the other keepers, entries and ``gooseberry-ctl``."""

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

_RELAYS_PER_DOMAIN_PAIR: Final = 1
_MIN_INTERVAL_SECONDS: Final = 0.2
_INTERVAL_SECONDS_PER_HOST: Final = 0.02
_HOST_REPORT_INTERVAL_SECONDS: Final = 1.0
_FLUSH_DELAY_SECONDS: Final = 0.01
_DIAL_INTERVAL_SECONDS: Final = 1.0
_INCOMING_DIAL_TIMEOUT_SECONDS: Final = 4.0

CreateHostReport = Callable[[int], HostReport]
CreateServerReports = Callable[[], ViewUpdate]


class ViewExchange:
    """Send each neighbour the reports that it has not been sent yet.

    Within a failure domain, every keeper sends its own reports to all others. For each
    pair of domains, one host on each side is the relay: it sends the reports of its
    domain to the other relay and forwards the reports it receives within its own
    domain. Relays send less often in a larger fleet. The number of connections of a
    host therefore grows with its failure domain, not with the fleet.
    """

    def __init__(
        self,
        context: KeeperContext,
        peers: Peers,
        seeds: tuple[str, ...],
        create_host_report: CreateHostReport,
        create_server_reports: CreateServerReports,
    ) -> None:
        self._context = context
        self._peers = peers
        self._seeds = seeds
        self._create_host_report = create_host_report
        self._create_server_reports = create_server_reports
        self._sent: dict[PeerConnection, SentVersions] = {}
        self._cross_domain_sent_at: dict[PeerConnection, float] = {}
        self._sequence = 0
        self._flush_requested = asyncio.Event()
        self._listed_addresses: dict[str, str] = {}
        self._first_seen: dict[str, float] = {}
        self._tasks = TaskOwner()

    def start(self) -> None:
        """Start the background tasks."""
        self._tasks.start(self._report_periodically(), "report")
        self._tasks.start(self._report_host_periodically(), "report host")
        self._tasks.start(self._dial_periodically(), "dial peers")

    async def stop(self) -> None:
        """Stop the background tasks."""
        await self._tasks.stop()

    def flush_soon(self) -> None:
        """Request that new reports be sent without waiting for the interval."""
        self._flush_requested.set()

    def forward_reports(self) -> None:
        """Send newly received reports soon if any peer relies on this host for them."""
        if self._peers.with_role("entry") or self.is_relay():
            self._flush_requested.set()

    async def announce(self) -> None:
        """Send a new report on this host to the neighbours immediately."""
        self._update_host_report()
        await self._flush()

    def set_listed_hosts(self, hosts: Iterable[HostRecord]) -> None:
        """Set the keepers of this failure domain that the platform lists."""
        self._listed_addresses = {host.host: host.address for host in hosts}

    def is_relay(self) -> bool:
        """Return whether this host relays reports between failure domains."""
        own = self._context.domain
        return any(
            self._context.host in self._relays(own, other)
            for other in self._domains()
            if other != own
        )

    def _domains(self) -> set[str]:
        return {report.domain for report in self._context.view.hosts.values()}

    def _relays(self, domain: str, other: str) -> list[str]:
        """Return the relays of a domain for its exchange with another domain."""
        now = self._context.clock.monotonic()
        live = {
            report.host
            for report in self._context.view.live_hosts(now)
            if report.domain == domain
        }
        if domain == self._context.domain:
            live.add(self._context.host)
        pair = "|".join(sorted((domain, other)))
        return rendezvous.ranked(pair, live)[:_RELAYS_PER_DOMAIN_PAIR]

    async def _report_periodically(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._report_interval()):
                    await self._flush_requested.wait()
                    await asyncio.sleep(_FLUSH_DELAY_SECONDS)
            self._flush_requested.clear()
            now = self._context.clock.monotonic()
            self._context.view.merge(self._create_server_reports(), now)
            await self._flush()

    def _report_interval(self) -> float:
        """Return the report interval, longer in large domains to keep costs flat."""
        own = self._context.domain
        hosts = sum(1 for r in self._context.view.hosts.values() if r.domain == own)
        return max(_MIN_INTERVAL_SECONDS, hosts * _INTERVAL_SECONDS_PER_HOST)

    async def _report_host_periodically(self) -> None:
        while True:
            self._update_host_report()
            await asyncio.sleep(_HOST_REPORT_INTERVAL_SECONDS)

    def _update_host_report(self) -> None:
        self._sequence += 1
        update = ViewUpdate(hosts=(self._create_host_report(self._sequence),))
        self._context.view.merge(update, self._context.clock.monotonic())

    async def _flush(self) -> None:
        connections = self._neighbours()
        self._sent = {c: v for c, v in self._sent.items() if c in connections}
        self._cross_domain_sent_at = {
            c: at for c, at in self._cross_domain_sent_at.items() if c in connections
        }
        is_relay = self.is_relay()
        encoded: dict[tuple[int, ...], bytes] = {}
        sends = []
        for connection in connections:
            if not self._is_due(connection):
                continue
            sent = self._sent.setdefault(connection, SentVersions())
            update = self._delta_for(connection, sent, is_relay=is_relay)
            if update is None:
                continue
            key = _identity_key(update)
            if key not in encoded:
                encoded[key] = encode(update)
            sends.append(self._send(connection, encoded[key]))
        if sends:
            await asyncio.gather(*sends)

    def _is_due(self, connection: PeerConnection) -> bool:
        """Return whether a neighbour is due; if so, restart its interval."""
        peer = connection.peer
        if peer is None or peer.role != "keeper" or peer.domain == self._context.domain:
            return True
        now = self._context.clock.monotonic()
        last = self._cross_domain_sent_at.get(connection, float("-inf"))
        if now - last < self._context.view.cross_domain_interval_seconds():
            return False
        self._cross_domain_sent_at[connection] = now
        return True

    def _neighbours(self) -> list[PeerConnection]:
        return [
            *self._peers.with_role("keeper"),
            *self._peers.with_role("entry"),
            *self._peers.with_role("ctl"),
        ]

    def _delta_for(
        self, connection: PeerConnection, sent: SentVersions, *, is_relay: bool
    ) -> ViewUpdate | None:
        peer = connection.peer
        view = self._context.view
        if peer is None:
            return None
        if peer.role != "keeper":
            return view.delta(sent, lambda host: True, lambda server: True)
        own = self._context.domain
        if peer.domain == own:
            return view.delta(
                sent,
                lambda host: (
                    self._is_self(host.host) or (is_relay and host.domain != own)
                ),
                lambda server: (
                    self._is_owned_here(server)
                    or (is_relay and self._domain_of(server) != own)
                ),
            )
        return view.delta(
            sent,
            lambda host: self._is_self(host.host) or (is_relay and host.domain == own),
            lambda server: (
                self._is_sent_to_other_domains(server, is_relay=is_relay)
                and view.has_new_summary(sent, server)
            ),
            lambda server: self._is_sent_to_other_domains(server, is_relay=is_relay),
        )

    def _is_sent_to_other_domains(self, server: str, *, is_relay: bool) -> bool:
        """Return whether this host sends a server's reports to other domains."""
        if self._is_owned_here(server):
            return True
        return is_relay and self._domain_of(server) == self._context.domain

    def _is_self(self, host: str) -> bool:
        return host == self._context.host

    def _is_owned_here(self, server: str) -> bool:
        report = self._context.view.servers.get(server)
        return report is not None and report.owner == self._context.host

    def _domain_of(self, server: str) -> str:
        """Return the failure domain of a server's owner, empty if unknown."""
        report = self._context.view.servers.get(server)
        host = self._context.view.hosts.get(report.owner) if report else None
        return "" if host is None else host.domain

    async def _send(self, connection: PeerConnection, update: bytes) -> None:
        with contextlib.suppress(PeerLostError):
            await connection.send_encoded(update)

    async def _dial_periodically(self) -> None:
        while True:
            for address in self._addresses_to_dial():
                with contextlib.suppress(PeerUnreachableError):
                    await self._peers.dialer.connect(address)
            await asyncio.sleep(_DIAL_INTERVAL_SECONDS)

    def _addresses_to_dial(self) -> list[str]:
        connected = {
            connection.peer.host
            for connection in self._peers.connections()
            if connection.peer is not None and connection.peer.role == "keeper"
        }
        known = {**self._listed_addresses, **self._reported_addresses()}
        now = self._context.clock.monotonic()
        missing_peers = {
            address
            for host, address in known.items()
            if host not in connected and not self._awaits_incoming_dial(host, now)
        }
        unknown_seeds = set(self._seeds) - set(known.values())
        return sorted((missing_peers | unknown_seeds) - {self._context.address})

    def _reported_addresses(self) -> dict[str, str]:
        """Return the addresses of known hosts that this host must be connected to."""
        own = self._context.domain
        return {
            report.host: report.address
            for report in self._context.view.hosts.values()
            if not report.is_leaving
            and (report.domain == own or self._is_relay_counterpart(report))
        }

    def _is_relay_counterpart(self, report: HostReport) -> bool:
        """Return whether this host and another are relays for their two domains."""
        own, other = self._context.domain, report.domain
        return (
            other != own
            and self._context.host in self._relays(own, other)
            and report.host in self._relays(other, own)
        )

    def _awaits_incoming_dial(self, host: str, now: float) -> bool:
        """Return whether to wait for an incoming connection from a host.

        The host with the lower name dials first, so that a pair normally has only one
        connection. The other host dials after a timeout.
        """
        if host >= self._context.host:
            return False
        first_seen = self._first_seen.setdefault(host, now)
        return now - first_seen < _INCOMING_DIAL_TIMEOUT_SECONDS


def _identity_key(update: ViewUpdate) -> tuple[int, ...]:
    """Return a key of the report objects, which is cheaper than comparing reports."""
    return tuple(id(item) for item in (*update.hosts, *update.servers, *update.slots))
