"""Find the software version that began a stream, also if another host relayed it."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.models.ids import RequestId, ServiceName
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.stream_notice import (
    StreamNotice,
    StreamQuery,
)
from gooseberrydeal._internal.models.routing.stream_origin import StreamOrigin
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.network.report_codec import (
    encode_stream_notice,
    encode_stream_query,
)
from gooseberrydeal._internal.operations.router.entry_reader import (
    READ_ERRORS,
    EntryReader,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.report_exchange import ReportExchange
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.stream_origins import (
    StreamOrigins,
    hosts_to_ask,
    hosts_to_tell,
    stream_key,
)
from gooseberrydeal._internal.policy.version_history import VersionHistory
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

# Far longer than hosts that live take to answer.
_QUERY_SECONDS: Final = 0.1
_QUERY_BITS: Final = 62
_NOTE_INTERVAL_SECONDS: Final = 0.5
# A server that serves a request has registered, or does so within this time.
_REGISTRATION_SECONDS: Final = 0.3
# Callers send what is left of a stream at most this long after it broke off.
_TAKE_UP_SECONDS: Final = 5.0


class StreamVersions:
    """Record where streams begin at this host, and look up where others began.

    Before the first event of a stream is passed on, a few hosts are told where it
    began. A host to which the caller comes later asks these hosts. If none of them
    knows, the stream may go on only if the service had one version all the time.

    The version is that of a server's entry. A server may start again under its id and
    run a stream before its new entry is read, so it is kept whether the process that
    runs a stream is that of the entry. Where it may be another one, the next read of
    all changes settles it, or a read of the entry if the stream is taken up before.
    """

    def __init__(
        self,
        membership: HostMembership,
        view: MetadataView,
        servers: ServerTable,
        entries: EntryReader,
        send: Callable[[bytes, str], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._view = view
        self._servers = servers
        self._entries = entries
        self._send = send
        self._clock = clock
        self._rng = rng
        self._origins = StreamOrigins()
        self._history = VersionHistory()
        servers.add_start_listener(
            lambda entry: self._history.note((entry,), self._clock())
        )
        self._queries: dict[int, tuple[asyncio.Future[StreamOrigin | None], int]] = {}
        self._tasks = TaskOwner()

    def listen(self, reports: ReportExchange) -> None:
        """Receive what hosts tell and ask about where streams began."""
        reports.set_handler(StreamNotice, self.notice_received)
        reports.set_handler(StreamQuery, self.query_received)

    def start(self) -> None:
        """Start to record the versions that are there."""
        self._tasks.keep_running(self._note_versions, "software versions")

    async def stop(self) -> None:
        """Stop recording."""
        await self._tasks.stop()
        await self._entries.stop()

    def stream_begins(
        self, request: RequestId, record: ServerRecord, *, is_certain: bool
    ) -> StreamOrigin:
        """Tell other hosts that a server begins a stream; return where it begins.

        With ``is_certain``, the server's entry is that of the process that runs it.
        """
        entry = record.entry
        stream = stream_key(request)
        origin = StreamOrigin(
            entry.service,
            entry.software_version,
            entry.id,
            entry.started_at,
            is_certain,
        )
        self._origins.put(stream, origin, self._clock())
        data = self._notice(stream, 0, origin)
        hosts = self._view.hosts.values()
        for host in hosts_to_tell(stream, self._membership, hosts):
            self._send(data, host.address)
        return origin

    def is_registered(self, connection: ServerConnection) -> bool:
        """Return whether the server's entry is that of the process of a connection."""
        return connection.running_since <= self._view.starts_known_until

    async def can_continue(
        self, record: ServerRecord, connection: ServerConnection, origin: StreamOrigin
    ) -> bool:
        """Return whether the process of a connection may go on with a stream.

        The server's entry is read again if it may be of an earlier start.
        """
        if self.is_registered(connection):
            return record.entry.can_continue(origin)
        try:
            entry = await self._entries.read(record.id)
        except READ_ERRORS as error:
            logger.info(
                "not resumed there: the server may have started again: %s",
                error,
                extra={"server": record.id},
            )
            return False
        return entry is not None and entry.can_continue(origin)

    async def confirm(self, origin: StreamOrigin) -> StreamOrigin | None:
        """Return where a stream began for certain, ``None`` if that is not known."""
        if origin.is_certain:
            return origin
        try:
            entry = await self._entries.read(origin.server)
        except READ_ERRORS as error:
            logger.info(
                "the server may have started again when a stream began: %s",
                error,
                extra={"server": origin.server},
            )
            return None
        if entry is not None and entry.began(origin):
            return replace(origin, is_certain=True)
        logger.info(
            "the server started again, or left, about when a stream began there",
            extra={"server": origin.server},
        )
        return None

    async def find(
        self, request: RequestId | None, services: Sequence[ServiceName], timeout: float
    ) -> StreamOrigin | None:
        """Return where the stream began that a request began, ``None`` if unknown.

        ``services`` are those of the route, and ``timeout`` is its timeout in seconds.
        """
        origin = None
        if request is not None:
            stream = stream_key(request)
            origin = self._origins.find(stream) or await self._ask(stream)
        if origin is not None:
            return await self.confirm(origin)
        return (
            await self._sole_origin(services[0], timeout)
            if len(services) == 1
            else None
        )

    async def _sole_origin(
        self, service: ServiceName, timeout: float
    ) -> StreamOrigin | None:
        """Return where a stream began if its service had one version all the time.

        The servers are read again, since one of another version may have registered
        after the last poll.
        """
        version = self._history.sole_version(
            service,
            timeout + _TAKE_UP_SECONDS,
            self._view.listed_at,
            self._view.last_response_at,
            self._clock(),
        )
        record = next(iter(self._servers.of_service(service)), None)
        if version is None or record is None:
            return None
        try:
            entries = await self._entries.read_all()
        except READ_ERRORS as error:
            logger.info("a new software version may have been missed: %s", error)
            return None
        versions = {e.software_version for e in entries if e.service == service}
        if versions - {version}:
            return None
        return StreamOrigin(service, version, record.id, record.entry.started_at)

    def notice_received(self, notice: StreamNotice) -> None:
        """Take in what another host knows about a stream."""
        if notice.origin is not None:
            self._origins.put(notice.stream, notice.origin, self._clock())
        found = self._queries.get(notice.query)
        if found is None:
            return
        answer, missing = found
        self._queries[notice.query] = (answer, missing - 1)
        if (notice.origin is not None or missing <= 1) and not answer.done():
            answer.set_result(notice.origin)

    def query_received(self, query: StreamQuery) -> None:
        """Tell another host where a stream began."""
        origin = self._origins.find(query.stream)
        self._send(self._notice(query.stream, query.query, origin), query.address)

    async def _ask(self, stream: bytes) -> StreamOrigin | None:
        hosts = hosts_to_ask(stream, self._membership, self._view.hosts.values())
        if not hosts:
            return None
        number = self._rng.getrandbits(_QUERY_BITS) + 1
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[StreamOrigin | None] = loop.create_future()
        self._queries[number] = (answer, len(hosts))
        data = encode_stream_query(
            StreamQuery(self._membership.address, stream, number)
        )
        for host in hosts:
            self._send(data, host.address)
        try:
            async with asyncio.timeout(_QUERY_SECONDS):
                return await answer
        except TimeoutError:
            logger.info("not all hosts answered where a stream began")
            return None
        finally:
            del self._queries[number]

    def _notice(self, stream: bytes, query: int, origin: StreamOrigin | None) -> bytes:
        return encode_stream_notice(
            StreamNotice(self._membership.host, stream, query, origin)
        )

    def _confirm_origins(self) -> None:
        def began(origin: StreamOrigin) -> bool:
            record = self._servers.get(origin.server)
            return record is not None and record.entry.began(origin)

        noted_before = self._view.registrations_read_until - _REGISTRATION_SECONDS
        self._origins.confirm(noted_before, began)

    async def _note_versions(self) -> None:
        while True:
            self._confirm_origins()
            if self._view.is_complete:
                self._history.note(
                    (record.entry for record in self._servers.records), self._clock()
                )
            await asyncio.sleep(_NOTE_INTERVAL_SECONDS)
