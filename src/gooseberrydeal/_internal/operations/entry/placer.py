"""Place requests on servers, or shed them."""

from typing import Final

from gooseberrydeal._internal.models.answer_events import AnswerRefused
from gooseberrydeal._internal.models.placement import Placement
from gooseberrydeal._internal.models.placement_query import PlacementQuery
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.work_order import WorkOrder
from gooseberrydeal._internal.operations.entry.entry_context import EntryContext
from gooseberrydeal._internal.operations.entry.server_views import ServerViews
from gooseberrydeal._internal.policy.admission import admit
from gooseberrydeal._internal.policy.placement_policy import PlacementPolicy

_SLOT_SECONDS_A_TOKEN: Final = 0.03
_SLOT_SECONDS: Final = 0.1


class Placer:
    """Know the servers and what was sent to them since their last reports."""

    def __init__(
        self, context: EntryContext, policy: PlacementPolicy, *, admits: bool
    ) -> None:
        self._context = context
        self._policy = policy
        self._admits = admits
        self._views = ServerViews(context)

    def sent(self, server: str) -> None:
        """Note a request that was sent to a server."""
        self._views.sent(server)

    def owner_of(self, service: str, server: str) -> Placement | None:
        """Return a placement on a server that has an owner."""
        for view in self._views.of_service(service):
            if view.server == server:
                return Placement(server, view.owner_address, 0.0, needs_load=False)
        return None

    def place(
        self, order: WorkOrder, excluded: frozenset[str]
    ) -> Placement | AnswerRefused:
        """Return the best server, or why the request is shed."""
        now = self._context.clock.monotonic()
        slot_seconds = self._slot_seconds(order)
        query = PlacementQuery(
            order.adapter,
            slot_seconds,
            self._context.domain,
            order.affinity,
            excluded,
            self.load_wait(),
        )
        placement = self._policy.choose(query, self._views.of_service(order.service))
        if placement is None:
            refusal = Refusal(RefusalReason.NO_SERVER, Ran.NO, retry_after=1.0)
            return AnswerRefused(refusal)
        if not self._admits:
            return placement
        verdict = admit(
            placement.wait_seconds,
            order.deadline - now,
            needs_load=placement.needs_load,
        )
        if not verdict.is_admitted and verdict.reason is not None:
            refusal = Refusal(
                verdict.reason, Ran.NO, retry_after=verdict.retry_after or None
            )
            return AnswerRefused(refusal)
        return placement

    def load_wait(self) -> float:
        """Return how long a further load would wait for the weight store."""
        configuration = self._context.configuration()
        if configuration is None:
            return 0.0
        hosts = self._context.view.hosts.values()
        waiting = sum(report.waiting_loads for report in hosts)
        return waiting / configuration.limits.loads_per_second

    def _slot_seconds(self, order: WorkOrder) -> float:
        configuration = self._context.configuration()
        if order.adapter is None and configuration is not None:
            found = configuration.operation(order.service, order.operation)
            return _SLOT_SECONDS if found is None else found.expected_seconds
        return _SLOT_SECONDS + order.expected_tokens * _SLOT_SECONDS_A_TOKEN
