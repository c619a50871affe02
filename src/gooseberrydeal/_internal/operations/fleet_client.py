"""Ask the running fleet for its state."""

import asyncio
import contextlib
from itertools import count
from typing import Final
from uuid import uuid4

from gooseberrydeal._internal.exceptions import PeerError, PeerUnreachableError
from gooseberrydeal._internal.models.messages.chunk_reply import ChunkReply
from gooseberrydeal._internal.models.messages.chunk_request import ChunkRequest
from gooseberrydeal._internal.models.messages.explain_reply import ExplainReply
from gooseberrydeal._internal.models.messages.explain_request import ExplainRequest
from gooseberrydeal._internal.models.messages.hello import Hello
from gooseberrydeal._internal.models.messages.revision_offer import RevisionOffer
from gooseberrydeal._internal.models.messages.view_update import ViewUpdate
from gooseberrydeal._internal.models.settings import CtlSettings
from gooseberrydeal._internal.network.codec import Message
from gooseberrydeal._internal.network.peer_connection import PeerConnection
from gooseberrydeal._internal.network.peer_dialer import PeerDialer
from gooseberrydeal._internal.network.websocket_transport import WebsocketTransport
from gooseberrydeal._internal.policy.configuration_chunks import digest_of
from gooseberrydeal._internal.policy.fleet_view import FleetView
from gooseberrydeal._internal.utils.clock import Clock
from gooseberrydeal._internal.utils.tls import TlsContexts

_VIEW_SECONDS: Final = 2.0
_REPLY_SECONDS: Final = 2.0
_POLL_SECONDS: Final = 0.05
_CHUNKS_A_REQUEST: Final = 32


class FleetClient:
    """Follow the fleet over the first keeper that can be reached."""

    def __init__(self, settings: CtlSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        hello = Hello("ctl", "", "ctl", incarnation=uuid4().hex)
        self._dialer = PeerDialer(
            hello,
            self._receive,
            WebsocketTransport(TlsContexts.from_files(settings.tls)),
        )
        self._view = FleetView()
        self._has_view = asyncio.Event()
        self._offer: RevisionOffer | None = None
        self._chunks: dict[str, bytes] = {}
        self._numbers = count(1)
        self._replies: dict[int, asyncio.Future[ExplainReply]] = {}

    @property
    def view(self) -> FleetView:
        """Return the reports on hosts and servers."""
        return self._view

    @property
    def offer(self) -> RevisionOffer | None:
        """Return the revision that the fleet has in force."""
        return self._offer

    async def connect(self) -> None:
        """Connect and receive a first view, or raise :class:`PeerUnreachableError`."""
        for address in self._settings.keepers:
            with contextlib.suppress(PeerError, TimeoutError):
                await self._dialer.connection(address)
                async with asyncio.timeout(_VIEW_SECONDS):
                    await self._has_view.wait()
                return
        raise PeerUnreachableError("no keeper can be reached; check the settings")

    async def configuration(self) -> tuple[RevisionOffer, list[bytes]]:
        """Return the revision in force and all its chunks."""
        while self._offer is None:
            await asyncio.sleep(_POLL_SECONDS)
        offer = self._offer
        connection = self._dialer.connections[0]
        for start in range(0, len(offer.chunks), _CHUNKS_A_REQUEST):
            part = offer.chunks[start : start + _CHUNKS_A_REQUEST]
            await connection.send(ChunkRequest(part))
        while any(digest not in self._chunks for digest in offer.chunks):
            await asyncio.sleep(_POLL_SECONDS)
        return offer, [self._chunks[digest] for digest in offer.chunks]

    async def explain(self, subject: str) -> list[ExplainReply]:
        """Ask every keeper what it knows of a subject."""
        now = self._clock.monotonic()
        hosts = self._view.live_hosts(now)
        replies = await asyncio.gather(
            *(self._ask(host.address, subject) for host in hosts)
        )
        return [reply for reply in replies if reply is not None]

    async def close(self) -> None:
        """Close all connections."""
        await self._dialer.stop()

    async def _ask(self, address: str, subject: str) -> ExplainReply | None:
        request = ExplainRequest(next(self._numbers), subject)
        future: asyncio.Future[ExplainReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._replies[request.number] = future
        try:
            connection = await self._dialer.connection(address)
            await connection.send(request)
            async with asyncio.timeout(_REPLY_SECONDS):
                return await future
        except (PeerError, TimeoutError):
            return None

    def _receive(self, connection: PeerConnection, message: Message) -> None:
        if isinstance(message, ViewUpdate):
            self._view.merge(message, self._clock.monotonic())
            if message.hosts:
                self._has_view.set()
        elif isinstance(message, RevisionOffer):
            self._offer = message
        elif isinstance(message, ChunkReply):
            for chunk in message.chunks:
                self._chunks[digest_of(chunk)] = chunk
        elif isinstance(message, ExplainReply):
            future = self._replies.pop(message.number, None)
            if future is not None and not future.done():
                future.set_result(message)
