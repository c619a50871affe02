"""Assemble and run the tasks of an entry."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Final

from starlette.types import ASGIApp

from gooseberrydeal._internal.exceptions import PeerUnreachableError
from gooseberrydeal._internal.models.alarm import Alarm
from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.models.lifecycle import Lifecycle
from gooseberrydeal._internal.models.messages.chunk_reply import ChunkReply
from gooseberrydeal._internal.models.messages.chunk_request import ChunkRequest
from gooseberrydeal._internal.models.messages.claim_reply import ClaimReply
from gooseberrydeal._internal.models.messages.finished import Finished
from gooseberrydeal._internal.models.messages.hello import Hello
from gooseberrydeal._internal.models.messages.refused import Refused
from gooseberrydeal._internal.models.messages.revision_offer import RevisionOffer
from gooseberrydeal._internal.models.messages.started import Started
from gooseberrydeal._internal.models.messages.tokens import Tokens
from gooseberrydeal._internal.models.messages.view_update import ViewUpdate
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.settings import EntrySettings
from gooseberrydeal._internal.network.codec import Message
from gooseberrydeal._internal.network.http_server import HttpServer
from gooseberrydeal._internal.network.interfaces.http_serving import HttpServing
from gooseberrydeal._internal.network.interfaces.peer_transport import PeerTransport
from gooseberrydeal._internal.network.limited_http import HttpLimits
from gooseberrydeal._internal.network.metrics import Metrics
from gooseberrydeal._internal.network.peer_connection import PeerConnection
from gooseberrydeal._internal.network.peer_dialer import PeerDialer
from gooseberrydeal._internal.network.websocket_transport import WebsocketTransport
from gooseberrydeal._internal.operations.alarms import Alarms
from gooseberrydeal._internal.operations.configuration_task import ConfigurationTask
from gooseberrydeal._internal.operations.entry.caller_api import CallerApi
from gooseberrydeal._internal.operations.entry.caller_auth import CallerAuth
from gooseberrydeal._internal.operations.entry.claims_client import ClaimsClient
from gooseberrydeal._internal.operations.entry.entry_context import EntryContext
from gooseberrydeal._internal.operations.entry.order_builder import OrderBuilder
from gooseberrydeal._internal.operations.entry.plain_calls import PlainCalls
from gooseberrydeal._internal.operations.entry.remote_streams import RemoteStreams
from gooseberrydeal._internal.operations.entry.work_runner import WorkRunner
from gooseberrydeal._internal.policy.baseline_placement import (
    HashPlacement,
    LeastLoadedPlacement,
    RoundRobinPlacement,
)
from gooseberrydeal._internal.policy.cost_placement import CostPlacement
from gooseberrydeal._internal.policy.demand import DemandTracker
from gooseberrydeal._internal.policy.fleet_view import FleetView
from gooseberrydeal._internal.policy.placement_policy import PlacementPolicy
from gooseberrydeal._internal.utils.clock import Clock
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port
from gooseberrydeal._internal.utils.tasks import TaskOwner
from gooseberrydeal._internal.utils.tls import TlsContexts

logger = logging.getLogger(__name__)

_CONNECTION_CHECK_INTERVAL_SECONDS: Final = 0.25
# The expected duration of an adapter load, unless a longer one is configured.
_MIN_LOAD_SECONDS: Final = 0.25
_ISOLATION_TIMEOUT_SECONDS: Final = 10.0
_RETRY_AFTER_SECONDS: Final = 2.0


class EntryNode:
    """Serve callers on one host.

    The entry gets the configuration and the state of the fleet over a connection to one
    keeper. After ``_ISOLATION_TIMEOUT_SECONDS`` without a connection it refuses
    requests, since its view of the fleet is out of date.
    """

    def __init__(
        self,
        settings: EntrySettings,
        transport: PeerTransport,
        create_server: Callable[[ASGIApp], HttpServing],
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._lifecycle = Lifecycle()
        self._tasks = TaskOwner()
        self._metrics = Metrics("entry")
        self._alarms = Alarms(self._metrics)
        self._keeper_connection: PeerConnection | None = None
        self._last_connected_at = clock.monotonic()
        hello = Hello(
            settings.host,
            settings.domain,
            "entry",
            incarnation=f"{clock.wall():.6f}",
        )
        self._dialer = PeerDialer(hello, self._receive, transport)
        self._streams = RemoteStreams(self._dialer)
        self._configuration = ConfigurationTask(
            None, lambda: False, self._open_connections, self._alarms, self._reconfigure
        )
        self._context = EntryContext(
            host=settings.host,
            domain=settings.domain,
            clock=clock,
            metrics=self._metrics,
            view=FleetView(settings.domain),
            demand=DemandTracker(),
            configuration=lambda: self._configuration.configuration,
        )
        uses_cost_policy = settings.policy == "cost"
        self._policy = _create_policy(settings.policy, clock)
        self._runner = WorkRunner(
            self._context,
            self._streams,
            self._policy,
            uses_hedging=uses_cost_policy,
            uses_admission=uses_cost_policy,
        )
        self._claims = ClaimsClient(self._context, self._dialer)
        self._plain_calls = PlainCalls(self._context, self._runner, self._claims)
        self._api = CallerApi(
            self._context,
            CallerAuth(clock, settings.body_bytes),
            OrderBuilder(self._context),
            self._runner,
            self._plain_calls,
            self.current_refusal,
        )
        self._server = create_server(self._api.app())

    @classmethod
    def from_settings(cls, settings: EntrySettings, clock: Clock) -> "EntryNode":
        """Create an entry that uses real HTTP and WebSocket connections."""
        host, port = split_ip_and_port(settings.listen)

        def create_server(app: ASGIApp) -> HttpServing:
            public = settings.public_tls
            tls = None if public is None else (str(public.certificate), str(public.key))
            limits = HttpLimits(settings.header_bytes, settings.header_seconds)
            return HttpServer(
                app,
                host,
                port,
                tls=tls,
                connections=settings.connections,
                limits=limits,
            )

        transport = WebsocketTransport(TlsContexts.from_files(settings.tls))
        return cls(settings, transport, create_server, clock)

    @property
    def context(self) -> EntryContext:
        """Return the state shared by the tasks."""
        return self._context

    @property
    def metrics(self) -> Metrics:
        """Return the metrics of the process."""
        return self._metrics

    @property
    def lifecycle(self) -> Lifecycle:
        """Return the lifecycle of the process."""
        return self._lifecycle

    @property
    def configuration(self) -> ConfigurationTask:
        """Return the task that keeps the configuration up to date."""
        return self._configuration

    @property
    def plain_calls(self) -> PlainCalls:
        """Return the runner for calls of plain services."""
        return self._plain_calls

    @property
    def runner(self) -> WorkRunner:
        """Return the runner for all requests."""
        return self._runner

    def current_refusal(self) -> Refusal | None:
        """Return the refusal for new requests, ``None`` if they are accepted now."""
        if not self._lifecycle.is_serving:
            return Refusal(
                RefusalReason.SHUTTING_DOWN, Ran.NO, "", _RETRY_AFTER_SECONDS
            )
        if self._is_isolated():
            return Refusal(RefusalReason.ISOLATED, Ran.NO, "", _RETRY_AFTER_SECONDS)
        if self._configuration.configuration is None:
            return Refusal(
                RefusalReason.NO_CONFIGURATION, Ran.NO, "", _RETRY_AFTER_SECONDS
            )
        return None

    async def start(self) -> None:
        """Start all tasks and accept callers."""
        self._tasks.start(self._stay_connected(), "keeper connection")
        self._configuration.start()
        await self._server.start()
        self._lifecycle.serve()
        logger.info(
            "entry started; accepting callers", extra={"host": self._settings.host}
        )

    async def stop(self) -> int:
        """Refuse new requests, wait for those in progress, and stop.

        Returns the number of requests that were still in progress after the drain
        timeout of the settings.
        """
        self._lifecycle.drain()
        interrupted = 0
        try:
            async with asyncio.timeout(self._settings.drain_seconds):
                await self._api.requests.wait_idle()
        except TimeoutError:
            interrupted = self._api.requests.count
        await self._server.stop()
        await self._plain_calls.stop()
        await self._stop_tasks()
        return interrupted

    async def abort(self) -> None:
        """Stop immediately without draining, to simulate a crash."""
        await self._server.abort()
        await self._plain_calls.stop()
        await self._stop_tasks()

    def _is_isolated(self) -> bool:
        now = self._clock.monotonic()
        if self._keeper_connection is not None and self._keeper_connection.is_open:
            self._last_connected_at = now
        is_isolated = now - self._last_connected_at > _ISOLATION_TIMEOUT_SECONDS
        self._alarms.set(Alarm.ISOLATED, is_raised=is_isolated)
        return is_isolated

    def _open_connections(self) -> list[PeerConnection]:
        connection = self._keeper_connection
        return [connection] if connection is not None and connection.is_open else []

    def _reconfigure(self, configuration: Configuration, number: int) -> None:
        self._metrics.set_revision(number)
        if isinstance(self._policy, CostPlacement):
            self._policy.load_seconds = max(
                _MIN_LOAD_SECONDS, configuration.limits.load_seconds
            )

    def _receive(self, connection: PeerConnection, message: Message) -> None:
        if isinstance(message, (Tokens, Started, Finished, Refused)):
            self._streams.receive(connection, message)
        elif isinstance(message, ViewUpdate):
            self._context.view.merge(message, self._clock.monotonic())
        elif isinstance(message, RevisionOffer):
            self._configuration.offered(message, connection)
        elif isinstance(message, ChunkReply):
            self._configuration.received(message)
        elif isinstance(message, ChunkRequest):
            self._configuration.requested(message, connection)
        elif isinstance(message, ClaimReply):
            self._claims.receive(message)

    async def _stay_connected(self) -> None:
        """Reconnect to a keeper whenever there is no open connection."""
        while True:
            if self._keeper_connection is None or not self._keeper_connection.is_open:
                await self._connect_to_keeper()
            await asyncio.sleep(_CONNECTION_CHECK_INTERVAL_SECONDS)

    async def _connect_to_keeper(self) -> None:
        """Connect to the first reachable keeper, those in the settings first."""
        known_addresses = [
            report.address for report in self._context.view.hosts.values()
        ]
        for address in [*self._settings.keepers, *known_addresses]:
            with contextlib.suppress(PeerUnreachableError):
                self._keeper_connection = await self._dialer.connect(address)
                return

    async def _stop_tasks(self) -> None:
        await self._tasks.stop()
        await self._configuration.stop()
        await self._dialer.stop()
        self._lifecycle.stop()


def _create_policy(name: str, clock: Clock) -> PlacementPolicy:
    if name == "round-robin":
        return RoundRobinPlacement()
    if name == "least-loaded-lagged":
        return LeastLoadedPlacement(clock)
    if name == "hash-only":
        return HashPlacement()
    return CostPlacement(_MIN_LOAD_SECONDS)
