"""Run hosts that tell each other where streams began, over a network in memory."""

import asyncio
import random
from collections import Counter

from gooseberrydeal._internal.models.ids import (
    DomainName,
    HostId,
    RequestId,
    SoftwareVersion,
)
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.stream_notice import (
    StreamNotice,
    StreamQuery,
)
from gooseberrydeal._internal.models.routing.stream_origin import StreamOrigin
from gooseberrydeal._internal.network.report_codec import decode_report
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.stream_versions import StreamVersions
from tests.lib.routing_builders import LANGUAGE, configuration, server_entry

ROUTE_TIMEOUT_SECONDS = 10.0


class StreamNetwork:
    """Deliver datagrams between hosts; those to and from cut hosts are lost."""

    def __init__(self) -> None:
        self.hosts: dict[str, StreamHost] = {}
        self.cut: set[str] = set()
        self.sent: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()

    def send(self, sender: str, data: bytes, address: str) -> None:
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(data)
        receiver = self.hosts.get(address)
        if receiver is None or {sender, address} & self.cut:
            return
        report = decode_report(data)
        loop = asyncio.get_running_loop()
        if isinstance(report, StreamNotice):
            loop.call_later(0.001, receiver.versions.notice_received, report)
        else:
            assert isinstance(report, StreamQuery)
            loop.call_later(0.001, receiver.versions.query_received, report)


class StreamHost:
    """Run what one host knows of streams; all hosts see the servers given here."""

    def __init__(
        self,
        number: int,
        network: StreamNetwork,
        domains: int = 1,
        versions: tuple[str | None, ...] = ("v1", "v2"),
    ) -> None:
        clock = asyncio.get_running_loop().time
        self.address = f"10.0.{number // 250}.{number % 250}:7000"
        self.view = MetadataView(is_complete=True)
        self.servers = ServerTable(clock)
        self.servers.configure(configuration())
        for index, version in enumerate(versions):
            self.put_server(index, version)
        self.member = member = HostMembership(
            HostId(f"h{number}"), DomainName(f"d{number % domains}"), self.address, 1
        )
        for other in network.hosts.values():
            other.view.hosts[member.host] = member
            self.view.hosts.update(other.view.hosts)
        self.view.hosts[member.host] = member
        network.hosts[self.address] = self
        self._network = network
        self.versions = StreamVersions(
            member,
            self.view,
            self.servers,
            lambda data, address: network.send(self.address, data, address),
            clock,
            random.Random(number),
        )
        self.versions.start()

    def put_server(self, number: int, version: str | None, started_at: int = 1) -> None:
        """Register a server, or another start of it."""
        software = None if version is None else SoftwareVersion(version)
        self.servers.put(
            server_entry(
                f"i-{number}", software_version=software, started_at=started_at
            )
        )

    def begin(self, stream: str, server: int = 0) -> StreamOrigin:
        """Let a server begin a stream that this host relays."""
        record = self.servers.get(server_entry(f"i-{server}").id)
        assert record is not None
        return self.versions.stream_begins(RequestId(stream), record)

    async def find(self, stream: str) -> str | None:
        """Return the version at which a stream began, as far as this host knows."""
        origin = await self.versions.find(
            RequestId(stream), [LANGUAGE], ROUTE_TIMEOUT_SECONDS
        )
        return None if origin is None else origin.version

    async def kill(self) -> None:
        """End the host."""
        del self._network.hosts[self.address]
        await self.versions.stop()

    def read_store(self) -> None:
        """Record that the store answered just now."""
        self.view.last_response_at = asyncio.get_running_loop().time()
