"""Run the request path of one host over real sockets.

There is no metadata store and no engine owner; the harness sets their state itself.
"""

import asyncio
import math
import random
from typing import Any

from gooseberrydeal._internal.models.ids import (
    DomainName,
    HostId,
)
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_status import CopyStatus
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.network.http1.caller_listener import CallerListener
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.brittle_servers import BrittleServers
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.crash_protection import (
    CrashProtection,
)
from gooseberrydeal._internal.operations.router.dispatcher import Dispatcher
from gooseberrydeal._internal.operations.router.eligible_servers import (
    EligibleServers,
)
from gooseberrydeal._internal.operations.router.engine_scope import EngineScope
from gooseberrydeal._internal.operations.router.entry_reader import EntryReader
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.peer_relay import PeerRelay
from gooseberrydeal._internal.operations.router.reachability import ReachabilityProber
from gooseberrydeal._internal.operations.router.request_handler import RequestHandler
from gooseberrydeal._internal.operations.router.server_callbacks import ServerCallbacks
from gooseberrydeal._internal.operations.router.server_limits import ServerLimits
from gooseberrydeal._internal.operations.router.server_notices import ServerNotices
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.silence_watch import SilenceWatch
from gooseberrydeal._internal.operations.router.stream_versions import StreamVersions
from gooseberrydeal._internal.platform.metadata_names import PlatformMetadataCodec
from gooseberrydeal._internal.platform.relay_codec import PlatformRelayCodec
from tests.lib.fake_metadata_store import FakeMetadataStore, StoreData
from tests.lib.quota_builders import single_host_quotas
from tests.lib.relay_routes import RELAY_LIMITS, relay_routes
from tests.lib.routing_builders import (
    LANGUAGE,
    MODEL,
    PLAIN,
    copy_key,
    engine_status,
    membership,
    server_entry,
    service,
)
from tests.lib.scripted_server import ScriptedServer

# Time until a copy that is being loaded is ready.
_LOAD_SECONDS = 60.0


class RelayHarness:
    """Relay requests to scripted servers.

    The plain servers are registered as ``p-0``, ``p-1`` and so on, the engines as
    ``e-0``, ``e-1`` and so on. Each engine has copies of the adapters a1 to a3.
    """

    def __init__(
        self, plain: list[ScriptedServer], engines: list[ScriptedServer]
    ) -> None:
        clock = asyncio.get_running_loop().time
        self.view = MetadataView()
        self.view.configuration = RoutingConfiguration(
            1,
            relay_routes(),
            {LANGUAGE: service(), PLAIN: service(PLAIN)},
            RELAY_LIMITS,
        )
        self.view.hosts[HostId("h1")] = membership()
        self.view.starts_known_until = math.inf
        self._statuses = 0
        self.servers = ServerTable(clock)
        self.servers.configure(self.view.configuration)
        for number, server in enumerate(plain):
            self.servers.put(
                server_entry(
                    f"p-{number}", service=PLAIN, address=server.address, slots=6
                )
            )
        for number, server in enumerate(engines):
            self.servers.put(server_entry(f"e-{number}", address=server.address))
            self.set_copies(f"e-{number}", CopyState.READY)
        signal = ChangeSignal()
        self.metrics = RouterMetrics()
        self.limits = ServerLimits(
            self.servers, HostId("h1"), lambda: self.view.hosts, clock
        )
        self.notices = ServerNotices(self.view, self.servers, clock)
        self.load_requests: list[ServerRecord] = []
        store = FakeMetadataStore(StoreData())
        self.crash_protection = CrashProtection(
            membership(),
            store,
            self.view,
            self.servers,
            self.metrics,
            lambda data, address: None,
            clock,
            random.Random(3),
        )
        dispatcher = Dispatcher(
            self.servers,
            self.view,
            EligibleServers(
                self.servers,
                self.limits,
                self.notices,
                BrittleServers(
                    self.servers, HostId("h1"), lambda: self.view.hosts, clock
                ),
                self.crash_protection.turns,
                clock,
            ),
            EngineScope(self.servers, self.view, signal, lambda record: None, clock),
            DomainName("d1"),
            5.0,
            signal,
            self.load_requests.append,
            clock,
            random.Random(1),
        )
        self.reachability = ReachabilityProber(
            self.servers,
            DomainName("d1"),
            self.crash_protection.detector.probed,
            random.Random(6),
        )

        def ignore(record: ServerRecord) -> None:
            return

        self.stream_versions = StreamVersions(
            membership(),
            self.view,
            self.servers,
            EntryReader(store, PlatformMetadataCodec()),
            lambda data, address: None,
            clock,
            random.Random(4),
        )
        self.handler = RequestHandler(
            self.view,
            PlatformRelayCodec(),
            dispatcher,
            self.crash_protection,
            self.stream_versions,
            self.metrics,
            RoutingBounds(),
            ServerCallbacks(
                ignore,
                ignore,
                self.reachability.mark_unreachable,
                self.reachability.connect_failed,
                SilenceWatch(self.reachability.probe_silent).request_sent,
                self.reachability.is_gone,
            ),
            PeerRelay(
                membership(),
                self.view,
                PlatformRelayCodec(),
                self.notices,
                dispatcher.eligible.brittle,
                self.metrics,
                clock,
                random.Random(5),
            ),
            single_host_quotas(self.view, clock).gate,
            clock,
            random.Random(2),
        )
        self.listener = CallerListener("127.0.0.1:0", self.handler)
        self.callers: list[Caller] = []

    @property
    def address(self) -> tuple[str, int]:
        host, port = self.listener.bound_address.rsplit(":", 1)
        return host, int(port)

    async def __aenter__(self) -> "RelayHarness":
        await self.listener.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        # A failing scenario leaves its callers connected.
        for caller in self.callers:
            caller.close()
        self.listener.abort()
        await self.reachability.stop()
        for record in self.servers.records:
            record.pool.close()

    def set_copies(self, server: str, state: CopyState | None) -> None:
        """Tell the host which state the three adapters have at an engine, if any."""
        self._statuses += 1
        ready_in = _LOAD_SECONDS if state is CopyState.LOADING else 0.0
        copies = tuple(
            CopyStatus(copy_key(f"a{n}"), state, ready_in)
            for n in range(1, 4)
            if state is not None
        )
        status = engine_status(server, sequence=self._statuses, copies=copies)
        self.servers.apply_status(status)


class Caller:
    """Send raw HTTP requests over one connection to the relay."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, harness: RelayHarness) -> "Caller":
        caller = cls(*await asyncio.open_connection(*harness.address))
        harness.callers.append(caller)
        return caller

    def send(
        self, path: str, request_id: str = "q1", body: bytes = b"x", **fields: Any
    ) -> None:
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: example",
            f"X-Request-Id: {request_id}",
            f"Content-Length: {len(body)}",
        ]
        if path.startswith(("/stream", "/resumable")):
            lines += [f"X-Model: {MODEL}/a1", "X-Token-Counts: 10,20"]
        lines += [f"{k.replace('_', '-')}: {value}" for k, value in fields.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def read_head(self) -> tuple[int, dict[str, str]]:
        """Read the status and the header fields of a response."""
        data = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5.0)
        status_line, *lines = data.decode().strip().split("\r\n")
        fields = {
            k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines)
        }
        return int(status_line.split()[1]), fields

    async def read_response(self) -> tuple[int, dict[str, str], bytes]:
        """Read the status, the header fields and the body of a response."""
        status, fields = await self.read_head()
        if "content-length" in fields:
            length = int(fields["content-length"])
            return status, fields, await self.reader.readexactly(length)
        return status, fields, await self.read_chunked_body()

    async def read_chunked_body(self) -> bytes:
        """Read a chunked body.

        Raises:
            asyncio.IncompleteReadError: The body is cut off.
        """
        body = b""
        while True:
            size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
            body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
            if not size:
                return body

    async def read_to_end(self) -> bytes:
        """Read until the connection ends, in order or by a reset."""
        data = b""
        try:
            while received := await self.reader.read(65_536):
                data += received
        except ConnectionError:
            pass
        return data

    def close(self) -> None:
        self.writer.close()
