"""Keep this host's part of the limits on requests that servers state."""

import logging
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.models.ids import HostId, ServerId, ServiceName
from gooseberrydeal._internal.models.routing.limit_report import (
    LimitReport,
    LimitStatement,
)
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.demand import DemandTracker
from gooseberrydeal._internal.policy.limit_division import limit_members, own_rate
from gooseberrydeal._internal.policy.paced_permits import PacedPermits
from gooseberrydeal._internal.policy.stated_limit import StatedLimit

logger = logging.getLogger(__name__)

_DEMAND_DECAY_SECONDS: Final = 3.0
# The demand of a host that was not heard of for this long is not known.
_DEMAND_RETENTION_SECONDS: Final = 3.0
# Demand that has grown counts after as many exchanges with the other hosts, which then
# use less of a limit before this host uses more.
_DELAYED_EXCHANGES: Final = 3
# A limit that changes by less than this fraction is not announced to all hosts.
_ANNOUNCED_CHANGE_FRACTION: Final = 0.1


@dataclass(slots=True)
class _LimitedServer:
    """Hold a server's limit and this host's part of it.

    ``members_of`` is what ``members`` were chosen from, at the cost of a hash a host.
    """

    stated: StatedLimit = field(default_factory=StatedLimit)
    permits: PacedPermits | None = None
    members: list[HostId] = field(default_factory=list)
    members_of: tuple[int, frozenset[HostId]] | None = None
    announced: float | None = None


class ServerLimits:
    """Divide the limits of servers among the hosts, and count what this host sends.

    ``hosts`` returns the hosts that may send requests.
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
        self._on_change: Callable[[LimitStatement], None] | None = None
        self._limited: dict[tuple[ServerId, int], _LimitedServer] = {}
        self._demand = DemandTracker(_DEMAND_DECAY_SECONDS)
        self._own_demands: dict[ServiceName, deque[float]] = {}
        self._demands: dict[ServiceName, dict[HostId, tuple[float, float]]] = {}

    def set_change_listener(self, on_change: Callable[[LimitStatement], None]) -> None:
        """Call a function with each limit that is new to this host, or was lifted."""
        self._on_change = on_change

    @property
    def is_empty(self) -> bool:
        """Return whether no server has stated a limit that still counts."""
        return not self._limited

    def note_request(self, service: ServiceName) -> None:
        """Count a request of a caller for a service."""
        self._demand.note_request(service, self._clock())

    def is_limited(self, record: ServerRecord) -> bool:
        """Return whether a limit is in force at a server."""
        return self._find(record) is not None

    def seconds_until_free(self, record: ServerRecord) -> float:
        """Return when this host may send to a server, infinity if it may not."""
        found = self._find(record)
        if found is None or found.permits is None:
            return 0.0
        return found.permits.seconds_until_next(self._clock())

    def take(self, record: ServerRecord) -> bool:
        """Count a request to be sent to a server; return whether it may be sent."""
        found = self._find(record)
        if found is None or found.permits is None:
            return True
        return found.permits.take(self._clock())

    def response_received(
        self,
        record: ServerRecord,
        status: int,
        attributes: ResponseAttributes,
        sent_at: float,
    ) -> None:
        """Apply the limit that a response states, or its absence from a success."""
        fields = {"request_id": attributes.request_id, "server": record.id}
        limit = attributes.request_limit
        if attributes.has_invalid_limit:
            logger.info("ignoring the server's limit: it is malformed", extra=fields)
            return
        key = (record.id, record.entry.started_at)
        if limit is None and (
            key not in self._limited or status >= HTTPStatus.BAD_REQUEST
        ):
            return
        found = self._limited.setdefault(key, _LimitedServer())
        if not found.stated.observe(limit, sent_at, self._clock()):
            return
        text = "no limit" if limit is None else f"{limit:g} requests a second"
        logger.info("server states %s for all hosts together", text, extra=fields)
        self._divide(record, found)
        if _is_announced_change(found.announced, limit):
            found.announced = limit
            if self._on_change is not None:
                self._on_change(self._statement(key, found))

    def merge(self, report: LimitReport) -> None:
        """Apply another host's demand and what servers stated to it."""
        now = self._clock()
        for service, demand in report.demands.items():
            self._demands.setdefault(service, {})[report.host] = (demand, now)
        for statement in report.statements:
            record = self._servers.get(statement.server)
            if record is None or record.entry.started_at != statement.started_at:
                continue
            key = (record.id, statement.started_at)
            found = self._limited.setdefault(key, _LimitedServer())
            limit = statement.requests_per_second
            stated_at = now - statement.seconds_ago
            if found.stated.merge(limit, stated_at, now):
                found.announced = limit
                self._divide(record, found)

    def refresh(self) -> None:
        """Divide all limits anew among the present hosts by their present demand."""
        now = self._clock()
        for key, found in list(self._limited.items()):
            record = self._servers.get(key[0])
            is_present = record is not None and record.entry.started_at == key[1]
            if record is None or not is_present or found.stated.is_forgotten(now):
                del self._limited[key]
            else:
                self._divide(record, found)
        services = {record.entry.service for record, _ in self._in_force()}
        for service in services:
            recent = self._own_demands.setdefault(
                service, deque(maxlen=_DELAYED_EXCHANGES)
            )
            recent.append(self._demand.rate(service, now))
        for service in self._own_demands.keys() - services:
            del self._own_demands[service]
        oldest = now - _DEMAND_RETENTION_SECONDS
        for service, demands in list(self._demands.items()):
            current = {k: v for k, v in demands.items() if v[1] >= oldest}
            self._demands[service] = current
            if not current:
                del self._demands[service]

    def statements(self) -> list[LimitStatement]:
        """Return what is known of the limits of all servers."""
        return [self._statement(key, found) for key, found in self._limited.items()]

    def own_demands(self) -> dict[ServiceName, float]:
        """Return this host's demand for each service with limited servers."""
        now = self._clock()
        services = {record.entry.service for record, _ in self._in_force()}
        return {service: self._demand.rate(service, now) for service in services}

    def fellow_members(self) -> set[HostId]:
        """Return the hosts that share a limit with this one."""
        fellows: set[HostId] = set()
        for _, found in self._in_force():
            if self._own in found.members:
                fellows.update(found.members)
        return fellows - {self._own}

    def _statement(
        self, key: tuple[ServerId, int], found: _LimitedServer
    ) -> LimitStatement:
        now = self._clock()
        limit = found.stated.current(now)
        return LimitStatement(*key, limit, max(0.0, now - found.stated.stated_at))

    def _in_force(self) -> Iterator[tuple[ServerRecord, _LimitedServer]]:
        for key, found in self._limited.items():
            record = self._servers.get(key[0])
            if record is not None and found.permits is not None:
                yield record, found

    def _find(self, record: ServerRecord) -> _LimitedServer | None:
        if not self._limited:
            return None
        found = self._limited.get((record.id, record.entry.started_at))
        return found if found is not None and found.permits is not None else None

    def _divide(self, record: ServerRecord, found: _LimitedServer) -> None:
        now = self._clock()
        limit = found.stated.current(now)
        if limit is None:
            found.permits = None
            return
        service = record.entry.service
        members_of = (int(limit), frozenset((self._own, *self._hosts())))
        if found.members_of != members_of:
            found.members_of = members_of
            found.members = limit_members(record.id, limit, members_of[1])
        demands = {
            host: demand for host, (demand, _) in self._demands.get(service, {}).items()
        }
        current = self._demand.rate(service, now)
        demands[self._own] = min([current, *self._own_demands.get(service, ())])
        if found.permits is None:
            found.permits = PacedPermits(now)
        found.permits.set_rate(*own_rate(limit, self._own, found.members, demands), now)


def _is_announced_change(announced: float | None, limit: float | None) -> bool:
    """Return whether a limit differs enough from the one that was announced last."""
    if announced is None or limit is None:
        return (announced is None) != (limit is None)
    return abs(limit - announced) > announced * _ANNOUNCED_CHANGE_FRACTION
