"""Probe unreachable backend servers until they accept connections again."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import (
    ServerNotListeningError,
    ServerUnreachableError,
)
from gooseberrydeal._internal.models.ids import DomainName, ServerId
from gooseberrydeal._internal.operations.router.probe_result import ProbeResult
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

# Bounds of the exponential backoff between two connection attempts to a server.
_MIN_PROBE_DELAY_SECONDS: Final = 0.15
_MAX_PROBE_DELAY_SECONDS: Final = 0.8


class ReachabilityProber:
    """Probe servers in the background, so that no request is risked on the attempt.

    A network partition usually affects a whole failure domain: when a server of
    another domain becomes unreachable, all servers of that domain are probed at once.
    ``on_probed`` is called with the result of each attempt.
    """

    def __init__(
        self,
        servers: ServerTable,
        own_domain: DomainName,
        on_probed: Callable[[ServerRecord, ProbeResult], None],
    ) -> None:
        self._servers = servers
        self._own_domain = own_domain
        self._on_probed = on_probed
        self._probing: set[ServerId] = set()
        self._is_isolated = False
        self._tasks = TaskOwner()

    @property
    def is_isolated(self) -> bool:
        """Return whether no server at all can be reached from this host."""
        return self._is_isolated

    def mark_unreachable(self, record: ServerRecord) -> None:
        """Mark a server unreachable until a connection to it can be opened."""
        record.pool.close()
        record.health.note_unreachable()
        self._update_isolation()
        self._start_probe(record)
        domain = record.entry.domain
        if domain == self._own_domain:
            return
        for other in list(self._servers.records):
            if other.entry.domain == domain and not other.health.is_unreachable:
                self._start_probe(other)

    async def stop(self) -> None:
        """Cancel all probes."""
        await self._tasks.stop()

    def _start_probe(self, record: ServerRecord) -> None:
        if record.id not in self._probing:
            self._probing.add(record.id)
            self._tasks.start(
                self._probe_until_reachable(record), f"probe of {record.id}"
            )

    async def _probe_until_reachable(self, record: ServerRecord) -> None:
        delay = _MIN_PROBE_DELAY_SECONDS
        try:
            while self._servers.get(record.id) is record:
                try:
                    await record.pool.probe()
                except ServerUnreachableError as error:
                    if not record.health.is_unreachable:
                        logger.info(
                            "server marked unreachable: %s",
                            error,
                            extra={"server": record.id},
                        )
                    record.health.note_unreachable()
                    self._update_isolation()
                    is_closed = isinstance(error, ServerNotListeningError)
                    self._on_probed(
                        record,
                        ProbeResult.NOT_LISTENING if is_closed else ProbeResult.SILENT,
                    )
                else:
                    record.health.note_reachable()
                    self._update_isolation()
                    self._on_probed(record, ProbeResult.CONNECTED)
                    return
                await asyncio.sleep(delay)
                delay = min(_MAX_PROBE_DELAY_SECONDS, delay * 2)
        finally:
            self._probing.discard(record.id)

    def _update_isolation(self) -> None:
        """Log when the last server becomes unreachable, and when one is back."""
        records = list(self._servers.records)
        unreachable = sum(record.health.is_unreachable for record in records)
        is_isolated = bool(records) and unreachable == len(records)
        if is_isolated == self._is_isolated:
            return
        self._is_isolated = is_isolated
        if is_isolated:
            logger.warning("this host reaches none of %d servers", len(records))
        else:
            logger.warning("this host reaches servers again")
