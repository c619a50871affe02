"""Run hosts that compete for the places of plain servers, in virtual time."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from gooseberrydeal._internal.models.ids import DomainName, HostId, ServerId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.place_messages import (
    PlaceGrant,
    PlaceRelease,
    PlaceRequest,
)
from gooseberrydeal._internal.models.routing.reply_facts import (
    ReportedLoad,
    ResponseAttributes,
)
from gooseberrydeal._internal.network.report_codec import decode_report
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.assignment import NoAssignment
from gooseberrydeal._internal.operations.router.brittle_servers import BrittleServers
from gooseberrydeal._internal.operations.router.eligible_servers import (
    EligibleServers,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_limits import ServerLimits
from gooseberrydeal._internal.operations.router.server_notices import ServerNotices
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.waiting.place_client import (
    PlaceClient,
)
from gooseberrydeal._internal.operations.router.waiting.place_keeper import (
    PlaceKeeper,
)
from gooseberrydeal._internal.operations.router.waiting.place_link import PlaceLink
from gooseberrydeal._internal.operations.router.waiting.plain_assignment import (
    PlainAssignment,
)
from gooseberrydeal._internal.policy.isolation_turns import IsolationTurns
from tests.lib.routing_builders import (
    PLAIN,
    configuration,
    request_facts,
    route,
    server_entry,
)

SLOTS = 6
WORK_SECONDS = 0.045
TARGET_SECONDS = 0.215
DEADLINE_SECONDS = 1.07
# Servers let this many requests wait beyond their slots.
_SERVER_QUEUE = 2
_DOMAINS = ("d1", "d2", "d3")
_MAX_SENDS = 3


class PlaceServer:
    """Serve requests in some places, and reject those that find no room."""

    def __init__(self) -> None:
        self.running = 0
        self.most_running = 0
        self.work_seconds = WORK_SECONDS
        self._slots = asyncio.Semaphore(SLOTS)

    async def serve(self, rng: random.Random) -> bool:
        """Return whether there was room for a request, after it was served."""
        if self.running >= SLOTS + _SERVER_QUEUE:
            return False
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        async with self._slots:
            await asyncio.sleep(self.work_seconds * rng.uniform(0.8, 1.2))
        self.running -= 1
        return True


class PlaceHost:
    """Assign requests of one host, with the parts that share places."""

    def __init__(self, world: "PlaceWorld", number: int, *, asks: bool) -> None:
        self.now = asyncio.get_running_loop().time
        domain = DomainName(_DOMAINS[number % len(_DOMAINS)])
        name = HostId(f"h{number}")
        self.membership = HostMembership(name, domain, f"{name}:1", number)
        self.view = MetadataView()
        self.servers = ServerTable(self.now)
        self.servers.configure(configuration())
        self.metrics = RouterMetrics()
        self.is_alive = True
        link = PlaceLink(self.membership, self.view, world.send_from(self), self.now)
        self.client = PlaceClient(link, self.view, self.servers, self.metrics, self.now)
        self.keeper = PlaceKeeper(link, self.servers, self.metrics, self.now, self.now)
        limits = ServerLimits(self.servers, name, lambda: self.view.hosts, self.now)
        brittle = BrittleServers(self.servers, name, lambda: self.view.hosts, self.now)
        notices = ServerNotices(self.view, self.servers, self.now)
        self.eligible = EligibleServers(
            self.servers, limits, notices, brittle, IsolationTurns(), self.now
        )
        self.assignment = PlainAssignment(
            self.eligible,
            self.client if asks else None,
            domain,
            self.now,
            random.Random(number),
        )

    def receive(self, data: bytes) -> None:
        report = decode_report(data)
        if isinstance(report, PlaceRequest):
            self.keeper.request_received(report)
        elif isinstance(report, PlaceGrant):
            self.client.grant_received(report)
        elif isinstance(report, PlaceRelease):
            self.keeper.release_received(report)


class PlaceWorld:
    """Run hosts and servers; ``loses`` decides which datagrams are lost.

    Outcomes are counted as ``in_time``, ``late`` and ``refused``, sends that a server
    rejected as ``rejected``.
    """

    def __init__(self, hosts: int, servers: int, *, asks: bool = True) -> None:
        self.rng = random.Random(20261206)
        self.loses: Callable[[PlaceHost, PlaceHost], bool] = lambda sender, to: False
        self.copies = 1
        self.datagrams = 0
        self.datagram_bytes = 0
        self.counts: Counter[str] = Counter()
        self.refusals: list[NoAssignment] = []
        self.servers = {
            ServerId(f"p{number}"): PlaceServer() for number in range(servers)
        }
        self.hosts = [PlaceHost(self, number, asks=asks) for number in range(hosts)]
        self.by_address = {host.membership.address: host for host in self.hosts}
        members = {host.membership.host: host.membership for host in self.hosts}
        for host in self.hosts:
            host.view.hosts.update(members)
            for number, server in enumerate(self.servers):
                host.servers.put(
                    server_entry(
                        server, service=PLAIN, slots=SLOTS, domain=_DOMAINS[number % 3]
                    )
                )

    @property
    def sends(self) -> int:
        return self.counts["in_time"] + self.counts["late"] + self.counts["rejected"]

    @property
    def rejected_share(self) -> float:
        return self.counts["rejected"] / max(1, self.sends)

    def keeper_of(self, server: str) -> PlaceHost:
        """Return the host that keeps the places of a server."""
        found = [h for h in self.hosts if server in h.keeper._kept]
        return found[0]

    def send_from(self, sender: PlaceHost) -> Callable[[bytes, str], None]:
        def send(data: bytes, address: str) -> None:
            self.datagrams += 1
            self.datagram_bytes += len(data)
            to = self.by_address.get(address)
            if to is None or not sender.is_alive or self.loses(sender, to):
                return
            loop = asyncio.get_running_loop()
            for _ in range(self.copies):
                delay = self.rng.uniform(0.0001, 0.0014)
                loop.call_later(delay, self._deliver, to, data)

        return send

    async def load(self, per_second: float, seconds: float, rank: int = 0) -> None:
        """Send requests to random hosts that live, and wait for their ends."""
        async with asyncio.TaskGroup() as tasks:
            end = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < end:
                await asyncio.sleep(self.rng.expovariate(per_second))
                host = self.rng.choice([h for h in self.hosts if h.is_alive])
                tasks.create_task(self.request(host, rank))

    async def request(self, host: PlaceHost, rank: int = 0) -> str:
        """Serve one request at a host; return its outcome."""
        now = host.now()
        request = RoutedRequest(
            request_facts(adapter=None),
            route(rank=rank, target_latency=TARGET_SECONDS),
            PLAIN,
            now,
            now + DEADLINE_SECONDS,
        )
        outcome = await self._serve(host, request)
        self.counts[outcome] += 1
        return outcome

    async def _serve(self, host: PlaceHost, request: RoutedRequest) -> str:
        for _ in range(_MAX_SENDS):
            found = await host.assignment.assign(request)
            if isinstance(found, NoAssignment):
                self.refusals.append(found)
                return "refused"
            if not host.is_alive:
                return "lost"
            if await self._send(host, request, found.record):
                waited = host.now() - request.arrived_at - WORK_SECONDS
                return "in_time" if waited < TARGET_SECONDS else "late"
            request.excluded.add(found.record.id)
        return "refused"

    async def _send(
        self, host: PlaceHost, request: RoutedRequest, record: ServerRecord
    ) -> bool:
        server = self.servers[record.id]
        record.begin(None, 0, 0)
        await asyncio.sleep(self.rng.uniform(0.0001, 0.0014))
        was_served = await server.serve(self.rng)
        await asyncio.sleep(self.rng.uniform(0.0001, 0.0014))
        record.end(None, 0)
        load = ReportedLoad(server.running, 0, SLOTS)
        host.client.response_received(
            record, ResponseAttributes("q1", not was_served, False, load)
        )
        record.load.report(server.running, 1.0, host.now())
        if not was_served:
            self.counts["rejected"] += 1
        if host.is_alive:
            request.release_place(was_rejected=not was_served)
        return was_served

    def _deliver(self, to: PlaceHost, data: bytes) -> None:
        if to.is_alive:
            to.receive(data)
