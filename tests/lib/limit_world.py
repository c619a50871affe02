"""Run the limits of several hosts before one server, over a network in memory."""

import asyncio
import itertools
import random

from gooseberrydeal._internal.models.ids import DomainName, HostId, ServerId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.limit_report import LimitReport
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.network.report_codec import decode_report
from gooseberrydeal._internal.operations.router.limit_exchange import LimitExchange
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_limits import ServerLimits
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.utils.tasks import TaskOwner
from tests.lib.routing_builders import PLAIN, configuration, server_entry

_SERVER = ServerId("p-0")
_SERVICE_SECONDS = 0.02
_DATAGRAM_SECONDS = 0.002
# Hosts learn of another host's start or stop from the store after up to this time.
_HOST_LIST_SECONDS = 0.8
# Requests count from this time after their host was told of the limit.
_TOLD_SECONDS = 0.5


class LimitNetwork:
    """Deliver datagrams, hold the hosts, and answer requests as the only server.

    ``limit`` is what the server states, ``counted`` the times of the requests from
    hosts that it had told of a limit.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.limit: float | None = None
        self.hosts: dict[str, LimitHost] = {}
        self.cut: set[str] = set()
        self.loss_rate = 0.0
        self.counted: list[float] = []
        self.served = 0
        self._numbers = itertools.count(1)
        self._tasks = TaskOwner()

    def start_host(self, name: str, requests_per_second: float) -> "LimitHost":
        host = LimitHost(name, self, requests_per_second, next(self._numbers))
        self.hosts[name] = host
        # A host reads the list before it takes requests.
        host.set_hosts(self._members())
        self._update_lists()
        host.start()
        return host

    async def stop_host(self, name: str) -> None:
        await self.hosts.pop(name).stop()
        self._update_lists()

    async def stop(self) -> None:
        for name in list(self.hosts):
            await self.stop_host(name)
        await self._tasks.stop()

    def send(self, sender: "LimitHost", data: bytes, address: str) -> None:
        receiver = self.hosts.get(address)
        if receiver is None or {sender.name, receiver.name} & self.cut:
            return
        if self.rng.random() < self.loss_rate:
            return
        asyncio.get_running_loop().call_later(_DATAGRAM_SECONDS, receiver.receive, data)

    def arrive(self, host: "LimitHost") -> float | None:
        """Count a request and return the limit that its response states."""
        now = asyncio.get_running_loop().time()
        self.served += 1
        if host.told_at is not None and now - host.told_at >= _TOLD_SECONDS:
            self.counted.append(now)
        return self.limit

    def _members(self) -> dict[HostId, HostMembership]:
        return {HostId(name): host.member for name, host in self.hosts.items()}

    def _update_lists(self) -> None:
        for host in self.hosts.values():
            delay = self.rng.uniform(0.0, _HOST_LIST_SECONDS)
            asyncio.get_running_loop().call_later(delay, self._update_list, host)

    def _update_list(self, host: "LimitHost") -> None:
        host.set_hosts(self._members())


class LimitHost:
    """Send requests to the server at a rate as far as its limit allows."""

    def __init__(
        self, name: str, network: LimitNetwork, requests_per_second: float, number: int
    ) -> None:
        clock = asyncio.get_running_loop().time
        self.name = name
        self.requests_per_second = requests_per_second
        self.told_at: float | None = None
        self.member = HostMembership(HostId(name), DomainName("d1"), name, number)
        self._network = network
        self._clock = clock
        self._view = MetadataView(hosts={HostId(name): self.member})
        self._servers = ServerTable(clock)
        self._servers.configure(configuration())
        self._servers.put(server_entry(_SERVER, service=PLAIN))
        self._rng = random.Random(f"{name} {number}")
        self.limits = ServerLimits(
            self._servers, HostId(name), lambda: self._view.hosts, clock
        )
        self._exchange = LimitExchange(
            self.member,
            self._view,
            self.limits,
            lambda data, address: network.send(self, data, address),
            self._rng,
        )
        self._tasks = TaskOwner()

    def start(self) -> None:
        self._tasks.start(self._exchange.run(), "exchange")
        self._tasks.start(self._send_requests(), "requests")

    async def stop(self) -> None:
        await self._tasks.stop()

    def set_hosts(self, members: dict[HostId, HostMembership]) -> None:
        self._view.hosts.clear()
        self._view.hosts.update(members)

    def receive(self, data: bytes) -> None:
        report = decode_report(data)
        assert isinstance(report, LimitReport)
        self.limits.merge(report)

    async def _send_requests(self) -> None:
        record = self._servers.get(_SERVER)
        assert record is not None
        while True:
            await asyncio.sleep(self._rng.expovariate(self.requests_per_second))
            self.limits.note_request(PLAIN)
            if self.limits.take(record):
                self._tasks.start(self._send(), "request")

    async def _send(self) -> None:
        record = self._servers.get(_SERVER)
        assert record is not None
        sent_at = self._clock()
        stated = self._network.arrive(self)
        await asyncio.sleep(_SERVICE_SECONDS)
        if stated is not None and self.told_at is None:
            self.told_at = self._clock()
        attributes = ResponseAttributes(
            None, is_not_run=False, is_event_stream=False, request_limit=stated
        )
        self.limits.response_received(record, 200, attributes, sent_at)
