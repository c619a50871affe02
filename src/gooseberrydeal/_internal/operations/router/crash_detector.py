"""Distinguish a server's crash from other causes of a lost connection."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.crash_id import CrashId
from gooseberrydeal._internal.models.routing.lost_request import LostRequest
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.operations.router.probe_result import ProbeResult
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.request_identity import RequestIdentity

logger = logging.getLogger(__name__)

CrashHandler = Callable[[CrashId, Sequence[LostRequest]], None]

# A connection lost longer ago than this was not lost by the crash that a probe shows.
_PROBE_WINDOW_SECONDS: Final = 2.0
# Servers that crashed are registered again within this time. One that was connected to
# after the loss may have started again before; then it registers within the time above.
_RESTART_WINDOW_SECONDS: Final = 10.0
# A connection lost this soon after a crash was found was lost by the same crash.
_SAME_CRASH_SECONDS: Final = 1.0
# Longest time for which a retry waits until it is known whether the server crashed.
_MAX_VERDICT_WAIT_SECONDS: Final = 0.05
# The load of one server from one host is far below this.
_MAX_LOST_REQUESTS: Final = 1024


@dataclass(slots=True)
class _LostConnections:
    """Requests whose connection to one start of a server was lost, with the times."""

    address: str
    started_at: int
    requests: list[tuple[LostRequest, float]] = field(default_factory=list)
    window_seconds: float = _RESTART_WINDOW_SECONDS
    crash_count: int = 0
    crashed_at: float = float("-inf")
    is_probed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def last_lost_at(self) -> float:
        """Return when the last connection was lost."""
        return self.requests[-1][1] if self.requests else float("-inf")


class CrashDetector:
    """Report each crash with the requests that were running or waiting there.

    A server that was not leaving has crashed if its connections were lost and then
    either nothing listens at its address, while other servers can be reached, or
    another start of a server registers there. A reset, a cut link, a frozen server, an
    invalid or a missing response show neither.
    """

    def __init__(
        self,
        servers: ServerTable,
        on_crash: CrashHandler,
        clock: Callable[[], float],
    ) -> None:
        self._servers = servers
        self._on_crash = on_crash
        self._clock = clock
        self._lost: dict[ServerId, _LostConnections] = {}

    def connection_lost(self, record: ServerRecord, identity: RequestIdentity) -> None:
        """Record that a connection was lost before the request was answered."""
        if not self._is_in_service(record):
            return
        now = self._clock()
        self._drop_old(now)
        request = LostRequest(identity.request_id, identity.features)
        lost = self._lost_connections(record)
        if now - lost.crashed_at < _SAME_CRASH_SECONDS:
            self._on_crash(self._crash_id(record.id, lost), (request,))
            return
        lost.is_probed.clear()
        if len(lost.requests) < _MAX_LOST_REQUESTS:
            lost.requests.append((request, now))
            lost.window_seconds = _RESTART_WINDOW_SECONDS

    def probed(self, record: ServerRecord, result: ProbeResult) -> None:
        """Record the result of a connection attempt to a server."""
        lost = self._lost.get(record.id)
        if lost is None:
            return
        if lost.requests and self._is_in_service(record):
            logger.info(
                "%d connections were lost; the probe of the server: %s",
                len(lost.requests),
                result.value,
                extra={"server": record.id},
            )
            if result in (ProbeResult.CONNECTED, ProbeResult.NOT_LISTENING):
                lost.window_seconds = _PROBE_WINDOW_SECONDS
            if result is ProbeResult.NOT_LISTENING:
                self._report(record.id, lost)
        lost.is_probed.set()

    def server_started(self, entry: ServerEntry) -> None:
        """Record that a server registered after a start."""
        for server, lost in list(self._lost.items()):
            if server == entry.id:
                is_other_start = lost.started_at != entry.started_at
            else:
                is_other_start = lost.address == entry.address
            if not is_other_start:
                continue
            record = self._servers.get(server)
            is_leaving = record is not None and not record.accepts_requests
            if lost.requests and not is_leaving:
                self._report(server, lost)
            del self._lost[server]

    async def wait_for_verdict(self, record: ServerRecord) -> None:
        """Wait until the server was probed after the loss, for a short time at most."""
        lost = self._lost.get(record.id)
        if lost is None or not lost.requests:
            return
        try:
            async with asyncio.timeout(_MAX_VERDICT_WAIT_SECONDS):
                await lost.is_probed.wait()
        except TimeoutError:
            logger.info("the server was not probed yet", extra={"server": record.id})

    def _report(self, server: ServerId, lost: _LostConnections) -> None:
        oldest = self._clock() - lost.window_seconds
        requests = [request for request, lost_at in lost.requests if lost_at >= oldest]
        lost.requests.clear()
        if not requests:
            return
        lost.crash_count += 1
        lost.crashed_at = self._clock()
        crash = self._crash_id(server, lost)
        logger.warning(
            "server crashed with %d requests of this host",
            len(requests),
            extra={"server": server},
        )
        self._on_crash(crash, requests)

    def _lost_connections(self, record: ServerRecord) -> _LostConnections:
        entry = record.entry
        lost = self._lost.get(record.id)
        if lost is None or lost.started_at != entry.started_at:
            lost = _LostConnections(entry.address, entry.started_at)
            self._lost[record.id] = lost
        return lost

    def _crash_id(self, server: ServerId, lost: _LostConnections) -> CrashId:
        return CrashId(server, lost.started_at, lost.crash_count)

    def _is_in_service(self, record: ServerRecord) -> bool:
        return self._servers.get(record.id) is record and record.accepts_requests

    def _drop_old(self, now: float) -> None:
        for server, lost in list(self._lost.items()):
            latest = max(lost.last_lost_at, lost.crashed_at)
            is_old = now - latest > _RESTART_WINDOW_SECONDS
            if is_old and self._servers.get(server) is None:
                del self._lost[server]
            elif is_old:
                lost.requests.clear()
