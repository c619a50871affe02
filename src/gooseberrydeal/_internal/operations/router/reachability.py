"""Probe unreachable backend servers until they accept connections again."""

import asyncio
import logging
import random
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
# How many other servers are tried when one refuses connections, and how many at once.
_MAX_CONTROL_PROBES: Final = 6
_CONCURRENT_CONTROL_PROBES: Final = 2


class ReachabilityProber:
    """Probe servers in the background, so that no request is risked on the attempt.

    A network partition usually affects a whole failure domain: when a server of
    another domain becomes unreachable, all servers of that domain are probed at once.
    If a server does not answer, those are probed too that were not heard of since. If
    one refuses connections, others tell whether it has ended or this host is cut off.
    ``on_probed`` is called with the result of each attempt.
    """

    def __init__(
        self,
        servers: ServerTable,
        own_domain: DomainName,
        on_probed: Callable[[ServerRecord, ProbeResult], None],
        rng: random.Random,
    ) -> None:
        self._servers = servers
        self._own_domain = own_domain
        self._on_probed = on_probed
        self._rng = rng
        self._probing: set[ServerId] = set()
        self._is_isolated = False
        self._tasks = TaskOwner()

    @property
    def is_isolated(self) -> bool:
        """Return whether no server at all can be reached from this host."""
        return self._is_isolated

    def connect_failed(
        self, record: ServerRecord, error: ServerUnreachableError, began_at: float
    ) -> None:
        """Mark a server to which no connection could be opened since ``began_at``.

        Its open connections stay in use if they are not silent as well.
        """
        self._close_silent(record, error, began_at)
        self._mark(record)
        if not isinstance(error, ServerNotListeningError):
            self._probe_unheard(began_at)

    def mark_unreachable(self, record: ServerRecord) -> None:
        """Mark a server unreachable until a connection to it can be opened."""
        record.pool.close()
        self._mark(record)

    def probe_silent(self, record: ServerRecord) -> None:
        """Probe a server that has not answered for a while; it may be slow only."""
        self._start_probe(record)

    async def is_gone(self, record: ServerRecord, silent_since: float) -> bool:
        """Return whether a server can't be reached that was silent since a time.

        It can if it was heard of on another connection since, or accepts a new one.
        """
        pool = record.pool
        # The last sign of life before the silence may have the same time.
        if max(pool.heard_at, pool.opened_at) > silent_since:
            return False
        if pool.failed_at > silent_since:
            # It is probed again and again since.
            return True
        began_at = asyncio.get_running_loop().time()
        try:
            await pool.probe()
        except ServerUnreachableError as error:
            logger.info(
                "server silent for %.1f s cannot be reached: %s",
                began_at - silent_since,
                error,
                extra={"server": record.id},
            )
            self.connect_failed(record, error, began_at)
            return True
        return False

    async def stop(self) -> None:
        """Cancel all probes."""
        await self._tasks.stop()

    def _mark(self, record: ServerRecord) -> None:
        record.health.note_unreachable()
        self._update_isolation()
        self._start_probe(record)
        domain = record.entry.domain
        if domain == self._own_domain:
            return
        for other in list(self._servers.records):
            if other.entry.domain == domain and not other.health.is_unreachable:
                self._start_probe(other)

    def _close_silent(
        self, record: ServerRecord, error: ServerUnreachableError, since: float
    ) -> None:
        """Close the idle connections to a server that was not heard of.

        If the process had ended, its machine would have reset them.
        """
        is_refused = isinstance(error, ServerNotListeningError)
        if not is_refused and record.pool.heard_at < since:
            record.pool.close()

    def _start_probe(self, record: ServerRecord) -> None:
        if record.id not in self._probing:
            self._probing.add(record.id)
            self._tasks.start(
                self._probe_until_reachable(record), f"probe of {record.id}"
            )

    async def _probe_until_reachable(self, record: ServerRecord) -> None:
        delay = _MIN_PROBE_DELAY_SECONDS
        loop = asyncio.get_running_loop()
        try:
            while self._servers.get(record.id) is record:
                began_at = loop.time()
                try:
                    await record.pool.probe()
                except ServerUnreachableError as error:
                    await self._probe_failed(record, error, began_at)
                else:
                    record.health.note_reachable()
                    self._update_isolation()
                    self._on_probed(record, ProbeResult.CONNECTED)
                    return
                await asyncio.sleep(delay)
                delay = min(_MAX_PROBE_DELAY_SECONDS, delay * 2)
        finally:
            self._probing.discard(record.id)

    async def _probe_failed(
        self, record: ServerRecord, error: ServerUnreachableError, began_at: float
    ) -> None:
        is_closed = isinstance(error, ServerNotListeningError)
        if not record.health.is_unreachable:
            logger.info(
                "server marked unreachable: %s", error, extra={"server": record.id}
            )
            self._close_silent(record, error, began_at)
            if not is_closed:
                self._probe_unheard(began_at)
        record.health.note_unreachable()
        self._update_isolation()
        if not is_closed:
            result = ProbeResult.SILENT
        elif await self._reaches_another(record, began_at):
            result = ProbeResult.NOT_LISTENING
        else:
            result = ProbeResult.ISOLATED
        self._on_probed(record, result)

    async def _reaches_another(self, record: ServerRecord, since: float) -> bool:
        """Return whether this host reaches servers besides one that refuses.

        True also if there are no others.
        """
        others = [item for item in self._servers.records if item is not record]
        if any(item.pool.heard_at >= since for item in others) or not others:
            return True
        unmarked = [item for item in others if not item.health.is_unreachable]
        tried = self._rng.sample(unmarked, min(_MAX_CONTROL_PROBES, len(unmarked)))
        for start in range(0, len(tried), _CONCURRENT_CONTROL_PROBES):
            batch = tried[start : start + _CONCURRENT_CONTROL_PROBES]
            if any(await asyncio.gather(*map(self._is_listening, batch))):
                return True
        return False

    async def _is_listening(self, record: ServerRecord) -> bool:
        try:
            await record.pool.probe()
        except ServerUnreachableError as error:
            logger.info("server not reached: %s", error, extra={"server": record.id})
            self._start_probe(record)
            return False
        return True

    def _probe_unheard(self, since: float) -> None:
        """Probe the servers that were not heard of either."""
        for other in list(self._servers.records):
            if not other.health.is_unreachable and other.pool.heard_at < since:
                self._start_probe(other)

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
