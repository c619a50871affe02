"""Query the running fleet for its state."""

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

_VIEW_TIMEOUT_SECONDS: Final = 2.0
_REPLY_TIMEOUT_SECONDS: Final = 2.0
_POLL_INTERVAL_SECONDS: Final = 0.05
_MAX_CHUNKS_PER_REQUEST: Final = 32


class FleetClient:
    """Receive the fleet's state from the first keeper that can be reached."""

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
        self._request_numbers = count(1)
        self._pending_replies: dict[int, asyncio.Future[ExplainReply]] = {}

    @property
    def view(self) -> FleetView:
        """Return the received reports on hosts and servers."""
        return self._view

    @property
    def offer(self) -> RevisionOffer | None:
        """Return the revision that the fleet uses, or ``None`` if none was received."""
        return self._offer

    async def connect(self) -> None:
        """Connect to a keeper and wait for its first view of the fleet.

        Raises :class:`PeerUnreachableError` if no configured keeper sends one in time.
        """
        for address in self._settings.keepers:
            with contextlib.suppress(PeerError, TimeoutError):
                await self._dialer.connect(address)
                async with asyncio.timeout(_VIEW_TIMEOUT_SECONDS):
                    await self._has_view.wait()
                return
        raise PeerUnreachableError(
            "no keeper can be reached; check 'keepers' in the settings"
        )

    async def configuration(self) -> tuple[RevisionOffer, list[bytes]]:
        """Return the revision that the fleet uses, and all its chunks in order.

        Waits without a time limit; the caller has to set one.
        """
        while self._offer is None:
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        offer = self._offer
        connection = self._dialer.connections[0]
        for start in range(0, len(offer.chunks), _MAX_CHUNKS_PER_REQUEST):
            batch = offer.chunks[start : start + _MAX_CHUNKS_PER_REQUEST]
            await connection.send(ChunkRequest(batch))
        while any(digest not in self._chunks for digest in offer.chunks):
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        return offer, [self._chunks[digest] for digest in offer.chunks]

    async def explain(self, subject: str) -> list[ExplainReply]:
        """Return the recent events on an adapter or request from all live keepers."""
        now = self._clock.monotonic()
        hosts = self._view.live_hosts(now)
        replies = await asyncio.gather(
            *(self._explain_at(host.address, subject) for host in hosts)
        )
        return [reply for reply in replies if reply is not None]

    async def close(self) -> None:
        """Close all connections to keepers."""
        await self._dialer.stop()

    async def _explain_at(self, address: str, subject: str) -> ExplainReply | None:
        request = ExplainRequest(next(self._request_numbers), subject)
        future: asyncio.Future[ExplainReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_replies[request.number] = future
        try:
            connection = await self._dialer.connect(address)
            await connection.send(request)
            async with asyncio.timeout(_REPLY_TIMEOUT_SECONDS):
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
            future = self._pending_replies.pop(message.number, None)
            if future is not None and not future.done():
                future.set_result(message)
