"""Find out when an unreachable server can be reached again."""

import asyncio
import logging
from typing import Final

from gooseberrydeal._internal.exceptions import ServerUnreachableError
from gooseberrydeal._internal.models.ids import DomainName, ServerId
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

# Between two connection attempts to a server that was not reached.
_FIRST_PAUSE_SECONDS: Final = 0.15
_MOST_PAUSE_SECONDS: Final = 0.8


class Reachability:
    """Try connections in the background, so that no request is spent on finding out.

    A cut usually concerns a whole failure domain; when one of its servers is lost,
    the others are tried at once.
    """

    def __init__(self, servers: ServerTable, own_domain: DomainName) -> None:
        self._servers = servers
        self._own_domain = own_domain
        self._probed: set[ServerId] = set()
        self._tasks = TaskOwner()

    def lost(self, record: ServerRecord) -> None:
        """Avoid a server until a connection to it can be made."""
        record.pool.close()
        record.health.note_unreachable()
        self._probe(record)
        domain = record.entry.domain
        if domain == self._own_domain:
            return
        for other in list(self._servers.records):
            if other.entry.domain == domain and not other.health.is_unreachable:
                self._probe(other)

    async def stop(self) -> None:
        """End all attempts."""
        await self._tasks.stop()

    def _probe(self, record: ServerRecord) -> None:
        if record.id not in self._probed:
            self._probed.add(record.id)
            self._tasks.start(self._until_reached(record), f"probe of {record.id}")

    async def _until_reached(self, record: ServerRecord) -> None:
        pause = _FIRST_PAUSE_SECONDS
        try:
            while self._servers.get(record.id) is record:
                try:
                    await record.pool.probe()
                except ServerUnreachableError as error:
                    if not record.health.is_unreachable:
                        logger.info(
                            "server avoided: %s", error, extra={"server": record.id}
                        )
                    record.health.note_unreachable()
                else:
                    record.health.note_reachable()
                    return
                await asyncio.sleep(pause)
                pause = min(_MOST_PAUSE_SECONDS, pause * 2)
        finally:
            self._probed.discard(record.id)
