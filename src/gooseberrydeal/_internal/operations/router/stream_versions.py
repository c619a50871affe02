"""Find the software version that began a stream, also if another host relayed it."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from typing import Final

from gooseberrydeal._internal.models.ids import RequestId, ServiceName
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.models.routing.stream_notice import (
    StreamNotice,
    StreamQuery,
)
from gooseberrydeal._internal.models.routing.stream_origin import StreamOrigin
from gooseberrydeal._internal.network.report_codec import (
    encode_stream_notice,
    encode_stream_query,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.server_health import REGISTRATION_SECONDS
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
# Callers send what is left of a stream at most this long after it broke off.
_TAKE_UP_SECONDS: Final = 5.0


class StreamVersions:
    """Record where streams begin at this host, and look up where others began.

    Before the first event of a stream is passed on, a few hosts are told where it
    began. A host to which the caller comes later asks these hosts. If none of them
    knows, the stream may go on only if the service had one version all the time.
    """

    def __init__(
        self,
        membership: HostMembership,
        view: MetadataView,
        servers: ServerTable,
        send: Callable[[bytes, str], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._view = view
        self._servers = servers
        self._send = send
        self._clock = clock
        self._rng = rng
        self._origins = StreamOrigins()
        self._history = VersionHistory()
        self._active: dict[bytes, ServerRecord] = {}
        self._queries: dict[int, tuple[asyncio.Future[StreamOrigin | None], int]] = {}
        self._tasks = TaskOwner()
        servers.add_start_listener(self._server_started)

    def start(self) -> None:
        """Start to record the versions that are there."""
        self._tasks.start(self._note_versions(), "software versions")

    async def stop(self) -> None:
        """Stop recording."""
        await self._tasks.stop()

    def stream_begins(self, request: RequestId, record: ServerRecord) -> StreamOrigin:
        """Record that a server begins a stream; return where it begins.

        The version is not known if the server may have started again, since then its
        entry may not be that of its present start. It is told once it is.
        """
        stream = stream_key(request)
        self._active[stream] = record
        is_certain = not record.health.may_have_restarted(self._clock())
        origin = self._origin(record, is_certain=is_certain)
        self._tell(stream, origin)
        if origin.version is None and record.entry.software_version is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(REGISTRATION_SECONDS, self._correct, stream, record)
        return origin

    def stream_ends(self, request: RequestId) -> None:
        """Record that the server that began a stream does not run it any more."""
        self._active.pop(stream_key(request), None)

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
        if origin is not None or len(services) != 1:
            return origin
        version = self._history.sole_version(
            services[0],
            timeout + _TAKE_UP_SECONDS,
            self._view.last_response_at,
            self._clock(),
        )
        if version is None:
            return None
        record = next(self._servers.of_service(services[0]), None)
        if record is None:
            return None
        return StreamOrigin(services[0], version, record.id, record.entry.started_at)

    def notice_received(self, notice: StreamNotice) -> None:
        """Take in what another host knows about a stream.

        Answers are not kept, since this host is not told of corrections.
        """
        if notice.origin is not None and not notice.query:
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

    def _tell(self, stream: bytes, origin: StreamOrigin) -> None:
        self._origins.put(stream, origin, self._clock())
        data = self._notice(stream, 0, origin)
        hosts = self._view.hosts.values()
        for host in hosts_to_tell(stream, self._membership, hosts):
            self._send(data, host.address)

    def _notice(self, stream: bytes, query: int, origin: StreamOrigin | None) -> bytes:
        return encode_stream_notice(
            StreamNotice(self._membership.host, stream, query, origin)
        )

    def _origin(self, record: ServerRecord, *, is_certain: bool) -> StreamOrigin:
        entry = record.entry
        version = entry.software_version if is_certain else None
        return StreamOrigin(entry.service, version, entry.id, entry.started_at)

    def _correct(self, stream: bytes, record: ServerRecord) -> None:
        """Tell where a stream began whose server may have started again before."""
        if self._active.get(stream) is record:
            self._tell(stream, self._origin(record, is_certain=True))

    def _server_started(self, entry: ServerEntry) -> None:
        """Correct the streams that a server began after a start that is known now."""
        for stream, record in list(self._active.items()):
            if record.id == entry.id:
                self._correct(stream, record)

    async def _note_versions(self) -> None:
        while True:
            if self._view.is_complete:
                self._history.note(
                    (
                        (record.entry.service, record.entry.software_version)
                        for record in self._servers.records
                    ),
                    self._clock(),
                )
            await asyncio.sleep(_NOTE_INTERVAL_SECONDS)
