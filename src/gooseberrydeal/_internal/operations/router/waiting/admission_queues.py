"""Hold the queues of the services whose requests wait in order of urgency."""

import random
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.models.routing.usage_report import WaitingCount
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.waiting.admission_queue import (
    AdmissionQueue,
    AdmissionTicket,
)
from gooseberrydeal._internal.operations.router.waiting.polled_turn import PolledTurn
from gooseberrydeal._internal.operations.router.waiting.queued_turn import QueuedTurn
from gooseberrydeal._internal.operations.router.waiting.request_turn import RequestTurn
from gooseberrydeal._internal.operations.router.waiting.waiting_elsewhere import (
    WaitingElsewhere,
)
from gooseberrydeal._internal.policy.waiting.admission_order import AdmissionOrder
from gooseberrydeal._internal.policy.waiting.service_ranks import service_ranks

# Hosts and servers come and go; whether a service has a queue is decided this often.
_DECISION_SECONDS: Final = 1.0
# With fewer hosts each knows the load of all engines, and requests that poll for room
# leave less of it unused: on a calm day of 8 hosts long requests of a less urgent rank
# earned 0.59 of their value in the queue and 0.75 without it.
_MIN_HOSTS_FOR_RANKS: Final = 17


class AdmissionQueues:
    """Decide whether a request waits in a queue, and return its turn there.

    A service has a queue if several ranks use it in a deployment of many hosts, or if
    its servers together have fewer places than there are hosts.
    """

    def __init__(
        self,
        view: MetadataView,
        servers: ServerTable,
        signal: ChangeSignal,
        metrics: RouterMetrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._servers = servers
        self._signal = signal
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._queues: dict[ServiceName, AdmissionQueue] = {}
        self._configuration: RoutingConfiguration | None = None
        self._decided: dict[ServiceName, tuple[bool, float]] = {}

    def turn(self, request: RoutedRequest) -> RequestTurn:
        """Return how a request that begins to look for an engine waits."""
        now = self._clock()
        if not self.has_queue(request.service):
            return PolledTurn(request, self._signal, now)
        queue = self._queues.get(request.service)
        if queue is None:
            queue = self._new_queue(request.service)
            self._queues[request.service] = queue
        return QueuedTurn(request, queue, self._signal, self._clock)

    def waiting(self) -> tuple[WaitingCount, ...]:
        """Return how many requests of each rank wait at this host."""
        return tuple(
            WaitingCount(service, rank, count)
            for service, queue in self._queues.items()
            for rank, count in queue.order.by_rank().items()
        )

    def request_ended(self, record: ServerRecord) -> None:
        """Let requests check that wait for the engines of a service."""
        queue = self._queues.get(record.entry.service)
        if queue is not None:
            queue.capacity_freed()

    def _new_queue(self, service: ServiceName) -> AdmissionQueue:
        order: AdmissionOrder[AdmissionTicket] = AdmissionOrder()
        return AdmissionQueue(
            service,
            order,
            WaitingElsewhere(service, self._view, self._servers, order.by_rank),
            self._signal,
            self._metrics,
            self._clock,
            self._rng,
        )

    def has_queue(self, service: ServiceName) -> bool:
        """Return whether requests for a service wait in a queue."""
        now = self._clock()
        configuration = self._view.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self._decided.clear()
        decided = self._decided.get(service)
        if decided is None or now - decided[1] >= _DECISION_SECONDS:
            has_ranks = len(service_ranks(configuration, service)) > 1
            places = sum(r.entry.slots for r in self._servers.of_service(service))
            hosts = len(self._view.hosts)
            is_large = hosts >= _MIN_HOSTS_FOR_RANKS
            decided = (places < hosts or (has_ranks and is_large), now)
            self._decided[service] = decided
        return decided[0]
