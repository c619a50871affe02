"""Hold the records of the backend servers of all services."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence

from gooseberrydeal._internal.models.ids import ServerId, ServiceName
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.policy.connection_share import ConnectionShare
from gooseberrydeal._internal.policy.exchange_periods import ExchangePeriods
from gooseberrydeal._internal.policy.speeds.usual_speeds import UsualSpeeds


class ServerTable:
    """Keep one record for each registered server of a configured service."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._start_listeners: list[Callable[[ServerEntry], None]] = []
        self._records: dict[ServerId, ServerRecord] = {}
        self._entries: dict[ServerId, ServerEntry] = {}
        self._configuration: RoutingConfiguration | None = None
        self._hosts = 1
        self._share = ConnectionShare()
        self._sharing_hosts = 1
        self._periods = ExchangePeriods()
        self._loads_in_progress: dict[ServerId, tuple[int, float]] = {}
        self._generation = 0
        self._speeds: defaultdict[ServiceName, UsualSpeeds] = defaultdict(UsualSpeeds)
        self._accepting: dict[ServiceName, tuple[ServerRecord, ...]] = {}

    @property
    def records(self) -> Iterable[ServerRecord]:
        """Return all records."""
        return self._records.values()

    @property
    def speeds(self) -> Mapping[ServiceName, UsualSpeeds]:
        """Return the usual speeds of the services that have or had servers."""
        return self._speeds

    @property
    def loads_in_progress(self) -> int:
        """Return the number of adapter loads in progress, as far as it is known."""
        oldest = self._clock() - self._periods.status_ttl
        return sum(n for n, at in self._loads_in_progress.values() if at >= oldest)

    @property
    def generation(self) -> int:
        """Return a number that changes when a server is added or removed."""
        return self._generation

    def get(self, server: ServerId) -> ServerRecord | None:
        """Return the record of a server, ``None`` if it is not known."""
        return self._records.get(server)

    def of_service(self, service: ServiceName) -> Sequence[ServerRecord]:
        """Return the servers of a service that accept requests."""
        found = self._accepting.get(service)
        if found is None:
            found = tuple(
                record
                for record in self._records.values()
                if record.entry.service == service and record.accepts_requests
            )
            self._accepting[service] = found
        return found

    def add_start_listener(self, on_start: Callable[[ServerEntry], None]) -> None:
        """Call a function with the entry of each server that registers after a start.

        The function is called after the entry was applied.
        """
        self._start_listeners.append(on_start)

    def set_host_count(self, hosts: int) -> None:
        """Set the number of hosts.

        They share the servers' connection limits, and exchange reports less often when
        there are more.
        """
        if hosts != self._hosts:
            self._hosts = max(1, hosts)
            self._share.note_hosts(hosts, self._clock())
            self._periods = ExchangePeriods.for_hosts(hosts)
            self.refresh_shares()

    def refresh_shares(self) -> None:
        """Apply this host's share of the servers' connections if it has changed.

        It grows some time after hosts have left, without any change of the metadata.
        """
        hosts = self._share.hosts(self._clock())
        if hosts != self._sharing_hosts:
            self._sharing_hosts = hosts
            for record in self._records.values():
                record.pool.set_limit(self._connection_limit(record.entry))

    def configure(self, configuration: RoutingConfiguration) -> None:
        """Apply a configuration, which may add or remove records."""
        self._configuration = configuration
        for entry in list(self._entries.values()):
            self._apply_entry(entry)

    def put(self, entry: ServerEntry) -> None:
        """Add or update a server by its entry."""
        known = self._entries.get(entry.id)
        self._entries[entry.id] = entry
        self._apply_entry(entry)
        if known is None or entry.is_other_start(known):
            for on_start in self._start_listeners:
                on_start(entry)

    def remove(self, server: ServerId) -> None:
        """Remove a server; requests in flight there are not interrupted."""
        self._entries.pop(server, None)
        self._drop(server)

    def apply_status(self, status: EngineStatus) -> bool:
        """Apply an owner's status of its engine; return whether it is newer."""
        record = self._records.get(status.server)
        now = self._clock()
        if record is None or not record.apply_status(status, now, self._periods):
            return False
        loads = sum(copy.state is CopyState.LOADING for copy in status.copies)
        self._loads_in_progress[status.server] = (loads, now)
        return True

    def _apply_entry(self, entry: ServerEntry) -> None:
        if self._configuration is None:
            return
        service = self._configuration.services.get(entry.service)
        if service is None:
            self._drop(entry.id)
            return
        record = self._records.get(entry.id)
        limit = self._connection_limit(entry)
        if record is None:
            self._records[entry.id] = ServerRecord(
                entry, service, limit, self._speeds[entry.service]
            )
            self._generation += 1
            self._accepting.clear()
            return
        known = record.entry
        record.update(entry, service, limit, self._clock())
        if (known.service, known.state) != (entry.service, entry.state):
            self._accepting.clear()

    def _drop(self, server: ServerId) -> None:
        self._loads_in_progress.pop(server, None)
        record = self._records.pop(server, None)
        if record is not None:
            record.pool.retire()
            record.speed.clear()
            record.service_time.clear()
            self._generation += 1
            self._accepting.clear()

    def _connection_limit(self, entry: ServerEntry) -> int:
        if self._configuration is None:
            return 1
        service = self._configuration.services.get(entry.service)
        limit = 1 if service is None else service.max_connections
        return self._share.limit(limit, self._clock())
