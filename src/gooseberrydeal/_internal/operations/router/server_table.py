"""Know the backend servers of all services."""

from collections.abc import Callable, Iterable, Iterator

from gooseberrydeal._internal.models.ids import ServerId, ServiceName
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.policy.exchange_periods import ExchangePeriods


class ServerTable:
    """Keep one record for each registered server of a configured service."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._records: dict[ServerId, ServerRecord] = {}
        self._entries: dict[ServerId, ServerEntry] = {}
        self._configuration: RoutingConfiguration | None = None
        self._hosts = 1
        self._periods = ExchangePeriods()
        self._fetching: dict[ServerId, int] = {}

    @property
    def records(self) -> Iterable[ServerRecord]:
        """Return all records."""
        return self._records.values()

    @property
    def fetching(self) -> int:
        """Return how many adapter loads are on their way to all engines."""
        return sum(self._fetching.values())

    def get(self, server: ServerId) -> ServerRecord | None:
        """Return the record of a server."""
        return self._records.get(server)

    def of_service(self, service: ServiceName) -> Iterator[ServerRecord]:
        """Yield the servers of a service that accept requests."""
        for record in self._records.values():
            if record.entry.service == service and record.accepts_requests:
                yield record

    def set_host_count(self, hosts: int) -> None:
        """Divide the servers' connections among so many hosts."""
        if hosts != self._hosts:
            self._hosts = max(1, hosts)
            self._periods = ExchangePeriods.for_hosts(hosts)
            for record in self._records.values():
                record.pool.set_limit(self._most_connections(record.entry))

    def configure(self, configuration: RoutingConfiguration) -> None:
        """Take a configuration over."""
        self._configuration = configuration
        for entry in list(self._entries.values()):
            self.put(entry)

    def put(self, entry: ServerEntry) -> None:
        """Take a server's entry over."""
        self._entries[entry.id] = entry
        if self._configuration is None:
            return
        service = self._configuration.services.get(entry.service)
        if service is None:
            self._drop(entry.id)
            return
        record = self._records.get(entry.id)
        most = self._most_connections(entry)
        if record is None:
            self._records[entry.id] = ServerRecord(entry, service, most)
        else:
            record.update(entry, service, most, self._clock())

    def remove(self, server: ServerId) -> None:
        """Forget a server that is gone; its requests end by themselves."""
        self._entries.pop(server, None)
        self._drop(server)

    def take_status(self, status: EngineStatus) -> bool:
        """Take an owner's word on its engine; return whether it is news."""
        record = self._records.get(status.server)
        now = self._clock()
        if record is None or not record.take_status(status, now, self._periods):
            return False
        self._fetching[status.server] = sum(
            copy.state is CopyState.LOADING for copy in status.copies
        )
        return True

    def _drop(self, server: ServerId) -> None:
        self._fetching.pop(server, None)
        record = self._records.pop(server, None)
        if record is not None:
            record.pool.retire()

    def _most_connections(self, entry: ServerEntry) -> int:
        if self._configuration is None:
            return 1
        service = self._configuration.services.get(entry.service)
        most = 1 if service is None else service.max_connections
        return max(2, int(most / self._hosts))
