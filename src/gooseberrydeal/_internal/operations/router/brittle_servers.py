"""Send servers that fall over when they are full no more than they have room for."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from gooseberrydeal._internal.models.ids import HostId, ServerId, ServiceName
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.place_division import (
    divide_places,
    place_holders,
)

logger = logging.getLogger(__name__)

# A notice is forgotten if no response confirmed it for this long.
_RETENTION_SECONDS: Final = 10.0
# A server may work on a request for a while after its connection was closed.
_ABANDONED_SECONDS: Final = 0.5
# After a server turned a request away, this host sends it nothing for this long.
_REJECTED_PAUSE_SECONDS: Final = 1.0
# Places are divided anew after this time, since hosts and servers come and go.
_DIVISION_SECONDS: Final = 0.2


@dataclass(slots=True)
class _Statement:
    """Hold what one start of a server last said, and what is to be left free there."""

    started_at: int
    is_brittle: bool
    stated_at: float
    paused_until: float = 0.0
    abandoned_until: list[float] = field(default_factory=list)


@dataclass(slots=True)
class _ServicePlaces:
    """Hold this host's places at the servers of a service."""

    shares: dict[ServerId, int]
    divided_at: float


class BrittleServers:
    """Divide the places of brittle servers among the hosts.

    Servers of a service are brittle at the same time. One that has not said anything
    since it started counts as brittle while another of its service is. ``hosts``
    returns the hosts that may send requests.
    """

    def __init__(
        self,
        servers: ServerTable,
        own: HostId,
        hosts: Callable[[], Iterable[HostId]],
        clock: Callable[[], float],
    ) -> None:
        self._servers = servers
        self._own = own
        self._hosts = hosts
        self._clock = clock
        self._statements: dict[ServerId, _Statement] = {}
        self._brittle_until: dict[ServiceName, float] = {}
        self._places: dict[ServiceName, _ServicePlaces] = {}
        self._waiting: dict[ServiceName, list[asyncio.Future[None]]] = {}
        self._release_listeners: list[Callable[[ServerRecord], None]] = []

    @property
    def is_empty(self) -> bool:
        """Return whether no service has servers that say that they are brittle."""
        return not self._brittle_until

    def is_brittle(self, record: ServerRecord) -> bool:
        """Return whether a server may fall over if it turns requests away."""
        if not self._brittle_until:
            return False
        now = self._clock()
        if self._brittle_until.get(record.entry.service, 0.0) <= now:
            return False
        statement = self._find(record)
        return statement is None or statement.is_brittle

    def has_place(self, record: ServerRecord) -> bool:
        """Return whether this host may send a server one more request."""
        return self._free_places(record) > 0

    def may_keep_place(self, record: ServerRecord) -> bool:
        """Return whether the request may be sent that was counted there last."""
        return self._free_places(record) >= 0

    def abandoned(self, record: ServerRecord) -> None:
        """Keep the place of a request whose connection this host has closed."""
        statement = self._find(record)
        if statement is not None and self.is_brittle(record):
            statement.abandoned_until.append(self._clock() + _ABANDONED_SECONDS)

    def response_received(
        self, record: ServerRecord, attributes: ResponseAttributes, sent_at: float
    ) -> None:
        """Apply whether a response says that its server is brittle."""
        if not attributes.is_brittle and not self._brittle_until:
            return
        now = self._clock()
        statement = self._find(record)
        if statement is None:
            statement = _Statement(record.entry.started_at, False, 0.0)
            self._statements[record.id] = statement
        if attributes.is_brittle:
            if not statement.is_brittle:
                logger.info(
                    "server says that it is brittle; it gets no more than its room",
                    extra={"server": record.id, "request_id": attributes.request_id},
                )
            statement.is_brittle = True
            statement.stated_at = now
            until = now + _RETENTION_SECONDS
            self._brittle_until[record.entry.service] = until
            if attributes.is_not_run:
                statement.paused_until = now + _REJECTED_PAUSE_SECONDS
        elif sent_at > statement.stated_at:
            statement.is_brittle = False
            statement.stated_at = now
            self._drop_ended(now)

    def other_holders(self, service: ServiceName) -> tuple[HostId, ...]:
        """Return the other hosts that have places at a service's servers."""
        slots = [record.entry.slots for record in self._servers.of_service(service)]
        holders = place_holders({self._own, *self._hosts()}, slots)
        return tuple(host for host in holders if host != self._own)

    def confirmed_elsewhere(self, service: ServiceName) -> None:
        """Record that a server of a service told another host that it is brittle.

        A host that passes all its requests on hears nothing from the servers itself.
        """
        if service in self._brittle_until:
            self._brittle_until[service] = self._clock() + _RETENTION_SECONDS

    def add_release_listener(self, listener: Callable[[ServerRecord], None]) -> None:
        """Call a function with the server of each request that has ended there."""
        self._release_listeners.append(listener)

    def place_released(self, record: ServerRecord) -> None:
        """Wake the first request that waits for a place at a server of this service."""
        for listener in self._release_listeners:
            listener(record)
        waiting = self._waiting.get(record.entry.service, ())
        for future in waiting:
            if not future.done():
                future.set_result(None)
                return

    async def wait_for_place(self, service: ServiceName, until: float) -> bool:
        """Wait until a place may be free; return false if it can't be in time.

        No more requests wait than this host has places.
        """
        waiting = self._waiting.setdefault(service, [])
        seconds = until - self._clock()
        if seconds <= 0.0 or len(waiting) >= self._own_places(service):
            return False
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting.append(future)
        try:
            async with asyncio.timeout(seconds):
                await future
        except TimeoutError:
            return False
        finally:
            waiting.remove(future)
        return True

    def _free_places(self, record: ServerRecord) -> int:
        if not self.is_brittle(record):
            return 1
        now = self._clock()
        statement = self._find(record)
        used = record.load.own_requests
        if statement is not None:
            if statement.paused_until > now:
                return -1
            kept = [until for until in statement.abandoned_until if until > now]
            statement.abandoned_until = kept
            used += len(kept)
        return self._shares(record.entry.service).get(record.id, 0) - used

    def _own_places(self, service: ServiceName) -> int:
        return sum(self._shares(service).values())

    def _shares(self, service: ServiceName) -> dict[ServerId, int]:
        """Return this host's places at each server, as divided a moment ago."""
        now = self._clock()
        places = self._places.get(service)
        if places is None or now - places.divided_at >= _DIVISION_SECONDS:
            slots = {r.id: r.entry.slots for r in self._servers.of_service(service)}
            shares = divide_places(self._own, self._hosts(), slots)
            places = _ServicePlaces(shares, now)
            self._places[service] = places
        return places.shares

    def _find(self, record: ServerRecord) -> _Statement | None:
        statement = self._statements.get(record.id)
        if statement is None or statement.started_at != record.entry.started_at:
            return None
        return statement

    def _drop_ended(self, now: float) -> None:
        """Forget services and servers whose brittle time has ended."""
        brittle = {
            record.entry.service
            for record in self._servers.records
            if (found := self._find(record)) is not None and found.is_brittle
        }
        for service, until in list(self._brittle_until.items()):
            if service not in brittle or until <= now:
                del self._brittle_until[service]
        if not self._brittle_until:
            self._statements.clear()
            self._places.clear()
