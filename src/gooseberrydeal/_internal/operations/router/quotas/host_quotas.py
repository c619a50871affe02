"""Create the components that keep accounts within their quotas."""

import random
from collections.abc import Callable

from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.models.routing.quota_messages import (
    QuotaGrant,
    QuotaRequest,
)
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.quotas.quota_admission import (
    QuotaAdmission,
)
from gooseberrydeal._internal.operations.router.quotas.quota_directory import (
    QuotaDirectory,
)
from gooseberrydeal._internal.operations.router.quotas.quota_exchange import (
    QuotaExchange,
)
from gooseberrydeal._internal.operations.router.quotas.quota_gate import QuotaGate
from gooseberrydeal._internal.operations.router.quotas.quota_members import (
    QuotaMembers,
)
from gooseberrydeal._internal.operations.router.report_exchange import ReportExchange
from gooseberrydeal._internal.utils.tasks import TaskOwner


class HostQuotas:
    """Hold the quotas' components of one host.

    ``clock`` also runs while the host is suspended, ``monotonic`` is the clock of the
    view. ``has_lease`` returns whether the store still lists this host for certain.
    """

    def __init__(
        self,
        membership: HostMembership,
        view: MetadataView,
        bounds: RoutingBounds,
        has_lease: Callable[[], bool],
        send: Callable[[bytes, str], None],
        metrics: RouterMetrics,
        clock: Callable[[], float],
        monotonic: Callable[[], float],
        rng: random.Random,
        *,
        is_first_start: bool = False,
    ) -> None:
        self._directory = QuotaDirectory(view, bounds)
        self._members = QuotaMembers(
            membership,
            view,
            has_lease,
            clock,
            monotonic,
            is_first_start=is_first_start,
        )
        self._exchange = QuotaExchange(
            membership, self._members, self._directory, send, clock, rng
        )
        self.admission = QuotaAdmission(
            self._exchange, self._members, self._directory, metrics, clock
        )
        self.gate = QuotaGate(self.admission)
        self._tasks = TaskOwner()

    def listen(self, reports: ReportExchange) -> None:
        """Receive the datagrams about quotas."""
        reports.set_handler(QuotaRequest, self.request_received)
        reports.set_handler(QuotaGrant, self.grant_received)

    def request_received(self, request: QuotaRequest) -> None:
        """Answer another host."""
        self._exchange.request_received(request)

    def grant_received(self, grant: QuotaGrant) -> None:
        """Take in an allocator's answer."""
        self._exchange.grant_received(grant)

    def start(self) -> None:
        """Start to ask ahead of demand."""
        self._tasks.keep_running(self.admission.run, "quotas")

    async def stop(self) -> None:
        """Stop asking."""
        await self._tasks.stop()

    def set_bounds(self, bounds: RoutingBounds) -> None:
        """Apply changed bounds."""
        self._directory.set_bounds(bounds)

    def metadata_changed(self) -> None:
        """Take in what was read from the store."""
        self._members.metadata_changed()

    def registered(self) -> None:
        """Note that this host is listed under a new lease."""
        self._members.registered()
