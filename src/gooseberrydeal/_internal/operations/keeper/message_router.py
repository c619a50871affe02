"""Dispatch the messages of peers to the tasks that handle them."""

import contextlib
import logging
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from gooseberrydeal._internal.exceptions import PeerError
from gooseberrydeal._internal.models.messages.cancel import Cancel
from gooseberrydeal._internal.models.messages.chunk_reply import ChunkReply
from gooseberrydeal._internal.models.messages.chunk_request import ChunkRequest
from gooseberrydeal._internal.models.messages.claim_request import ClaimRequest
from gooseberrydeal._internal.models.messages.claim_result import ClaimResult
from gooseberrydeal._internal.models.messages.credit import Credit
from gooseberrydeal._internal.models.messages.explain_reply import ExplainReply
from gooseberrydeal._internal.models.messages.explain_request import ExplainRequest
from gooseberrydeal._internal.models.messages.permit_grant import PermitGrant
from gooseberrydeal._internal.models.messages.permit_request import PermitRequest
from gooseberrydeal._internal.models.messages.revision_offer import RevisionOffer
from gooseberrydeal._internal.models.messages.submit import Submit
from gooseberrydeal._internal.models.messages.suspect_notice import SuspectNotice
from gooseberrydeal._internal.models.messages.view_update import ViewUpdate
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.network.codec import Message
from gooseberrydeal._internal.network.peer_connection import PeerConnection
from gooseberrydeal._internal.network.served_stream import ServedStream
from gooseberrydeal._internal.operations.configuration_task import ConfigurationTask
from gooseberrydeal._internal.operations.keeper.claim_writer import ClaimWriter
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.keeper.load_permit_queue import LoadPermitQueue
from gooseberrydeal._internal.operations.keeper.server_owner import ServerOwner
from gooseberrydeal._internal.operations.keeper.suspect_sharing import SuspectSharing
from gooseberrydeal._internal.operations.keeper.view_exchange import ViewExchange
from gooseberrydeal._internal.operations.peers import Peers
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

StreamKey = tuple[PeerConnection, int]
Handler = Callable[[PeerConnection, Any], None]


class MessageRouter:
    """Dispatch messages by type and track the stream of each submitted request."""

    def __init__(
        self, context: KeeperContext, owners: Mapping[str, ServerOwner]
    ) -> None:
        self._context = context
        self._owners = owners
        self._streams: dict[StreamKey, tuple[ServedStream, ServerOwner]] = {}
        self._observed_connections: set[PeerConnection] = set()
        self._tasks = TaskOwner()
        self._handlers: dict[type[Any], Handler] = {}

    def register_handlers(
        self,
        configuration: ConfigurationTask,
        claims: ClaimWriter,
        permit_queue: LoadPermitQueue,
        suspects: SuspectSharing,
        view: ViewExchange,
    ) -> None:
        """Register the tasks that handle messages."""
        self._permit_queue = permit_queue
        self._view = view
        self._handlers = {
            Submit: self._submit,
            Cancel: self._cancel,
            Credit: self._add_credit,
            ViewUpdate: self._merge_view,
            PermitRequest: self._lend_permits,
            ExplainRequest: self._explain,
            RevisionOffer: lambda peer, offer: configuration.offered(offer, peer),
            ChunkRequest: lambda peer, chunk: configuration.requested(chunk, peer),
            ChunkReply: lambda peer, reply: configuration.received(reply),
            PermitGrant: lambda peer, grant: permit_queue.add_loan(grant),
            ClaimRequest: lambda peer, request: claims.claim(request, peer),
            ClaimResult: lambda peer, result: claims.record(result),
            SuspectNotice: lambda peer, notice: suspects.received(notice),
        }

    async def stop(self) -> None:
        """Stop the tasks that handle messages."""
        await self._tasks.stop()

    def receive(self, connection: PeerConnection, message: Message) -> None:
        """Dispatch a message; ignore types that a keeper does not handle."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(connection, message)

    async def send_to(self, peers: Peers, address: str, message: Message) -> None:
        """Send a message to the peer at an address; ignore peer errors."""
        with contextlib.suppress(PeerError):
            existing = peers.at_address(address)
            connection = existing or await peers.dialer.connect(address)
            await connection.send(message)

    def _submit(self, connection: PeerConnection, submit: Submit) -> None:
        key = (connection, submit.stream)
        stream = ServedStream(connection, submit, lambda: self._streams.pop(key, None))
        owner = self._owners.get(submit.server)
        if owner is None:
            refusal = Refusal(RefusalReason.NOT_OWNER, Ran.NO)
            self._context.metrics.count_refusal(refusal.reason)
            self._start(stream.refuse(refusal), "refuse")
            return
        if submit.adapter:
            adapter_version = f"{submit.adapter}@{submit.version}"
            now = self._context.clock.monotonic()
            self._context.demand.note_request(adapter_version, now)
            self._context.demand.raise_rate(adapter_version, submit.demand, now)
        if connection not in self._observed_connections:
            self._observed_connections.add(connection)
            connection.on_close(self._connection_lost)
        self._streams[key] = (stream, owner)
        self._start(owner.submit(submit, stream), "submit")

    def _merge_view(self, connection: PeerConnection, update: ViewUpdate) -> None:
        if self._context.view.merge(update, self._context.clock.monotonic()):
            self._view.forward_reports()

    def _cancel(self, connection: PeerConnection, cancel: Cancel) -> None:
        entry = self._streams.pop((connection, cancel.stream), None)
        if entry is not None:
            stream, owner = entry
            owner.cancel(stream)

    def _add_credit(self, connection: PeerConnection, credit: Credit) -> None:
        entry = self._streams.get((connection, credit.stream))
        if entry is not None:
            entry[0].add_credit(credit.frames)

    def _connection_lost(self, connection: PeerConnection) -> None:
        self._observed_connections.discard(connection)
        for key in [key for key in self._streams if key[0] is connection]:
            stream, owner = self._streams.pop(key)
            owner.connection_lost(stream)

    def _lend_permits(self, connection: PeerConnection, request: PermitRequest) -> None:
        grant = self._permit_queue.lend(request)
        if grant is not None:
            self._start(connection.send(grant), "lend permits")

    def _explain(self, connection: PeerConnection, request: ExplainRequest) -> None:
        lines = self._context.journal.events_about(request.subject)
        reply = ExplainReply(request.number, self._context.host, lines)
        self._start(connection.send(reply), "explain")

    def _start(self, coroutine: Coroutine[Any, Any, None], task_name: str) -> None:
        self._tasks.start(self._ignore_peer_errors(coroutine), task_name)

    async def _ignore_peer_errors(self, coroutine: Coroutine[Any, Any, None]) -> None:
        with contextlib.suppress(PeerError):
            await coroutine
