"""Follow what servers say of themselves: that they leave, or want no requests now."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.requested_wait import RequestedWait

logger = logging.getLogger(__name__)

# Notices of servers that are gone are kept, since a restored store may list them again.
# Beyond this number the oldest are dropped.
_MAX_NOTICES: Final = 4_096


@dataclass(slots=True)
class _Notice:
    """Hold what one start of a server has said to this host.

    Unless ``is_certain``, a later start may have said it, of which the entry had not
    been read at ``heard_at``.
    """

    started_at: int
    heard_at: float
    is_certain: bool
    is_leaving: bool = False
    wait: RequestedWait = field(default_factory=RequestedWait)


class ServerNotices:
    """Keep servers from getting requests after they said that they want none.

    A notice holds for this host and for the start of the server that gave it, whatever
    the server's entry or other hosts say, until a later start has registered.
    """

    def __init__(
        self, view: MetadataView, servers: ServerTable, clock: Callable[[], float]
    ) -> None:
        self._view = view
        self._clock = clock
        self._notices: dict[ServerId, _Notice] = {}
        servers.add_start_listener(self._server_started)

    @property
    def is_empty(self) -> bool:
        """Return whether no server has said anything that still counts."""
        return not self._notices

    def is_leaving(self, record: ServerRecord) -> bool:
        """Return whether the server said that it leaves."""
        notice = self._find(record)
        return notice is not None and notice.is_leaving

    def note_leaving(self, server: ServerId, started_at: int) -> None:
        """Record that a server told another host that it leaves."""
        notice = self._notices.get(server)
        if notice is None or notice.started_at < started_at:
            notice = _Notice(started_at, self._clock(), is_certain=True)
            self._add(server, notice)
        notice.is_leaving |= notice.started_at == started_at

    def seconds_to_wait(self, record: ServerRecord) -> float:
        """Return for how many seconds nothing may be sent to the server, 0 if none."""
        notice = self._find(record)
        return 0.0 if notice is None else notice.wait.seconds_left(self._clock())

    def may_send(self, record: ServerRecord) -> bool:
        """Return whether a request may be sent to the server now."""
        return not self.is_leaving(record) and self.seconds_to_wait(record) <= 0.0

    def note_sent(self, record: ServerRecord) -> None:
        """Count a request that is sent to the server."""
        notice = self._find(record)
        if notice is not None:
            notice.wait.begin(self._clock())

    def response_received(
        self,
        record: ServerRecord,
        connection: ServerConnection,
        attributes: ResponseAttributes,
    ) -> None:
        """Apply what a response says of the server itself."""
        now = self._clock()
        if not attributes.is_leaving and attributes.wait_seconds is None:
            notice = self._find(record)
            if notice is not None:
                notice.wait.answered(now)
            return
        notice = self._notice_for(record, connection)
        fields = {"request_id": attributes.request_id, "server": record.id}
        if attributes.is_leaving and not notice.is_leaving:
            notice.is_leaving = True
            logger.info(
                "server not used until it starts again: it says that it leaves",
                extra=fields,
            )
        if attributes.wait_seconds is not None:
            if notice.wait.is_over:
                logger.info(
                    "server asks this host to wait for %g s",
                    attributes.wait_seconds,
                    extra=fields,
                )
            notice.wait.ask(attributes.wait_seconds, now)

    def _find(self, record: ServerRecord) -> _Notice | None:
        if not self._notices:
            return None
        notice = self._notices.get(record.id)
        if notice is None or record.entry.started_at > notice.started_at:
            return None
        return notice

    def _notice_for(
        self, record: ServerRecord, connection: ServerConnection
    ) -> _Notice:
        notice = self._find(record)
        if notice is None:
            is_certain = connection.running_since <= self._view.starts_known_until
            notice = _Notice(record.entry.started_at, self._clock(), is_certain)
            self._add(record.id, notice)
        return notice

    def _add(self, server: ServerId, notice: _Notice) -> None:
        self._notices.pop(server, None)
        self._notices[server] = notice
        if len(self._notices) > _MAX_NOTICES:
            del self._notices[next(iter(self._notices))]

    def _server_started(self, entry: ServerEntry) -> None:
        notice = self._notices.get(entry.id)
        if notice is None or entry.started_at <= notice.started_at:
            return
        is_known = self._view.starts_known_until >= notice.heard_at
        if notice.is_certain or is_known:
            del self._notices[entry.id]
        else:
            # The notice may be that of the start which registers only now.
            notice.started_at = entry.started_at
