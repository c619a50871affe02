"""Choose servers for requests, or shed the requests."""

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

# The estimated time that a completion occupies a running slot of a server: a base time
# and a time for each expected token. The base time is also used for plain operations
# without a declared duration.
_SLOT_SECONDS_PER_TOKEN: Final = 0.03
_BASE_SLOT_SECONDS: Final = 0.1


class Placer:
    """Place requests according to a placement policy.

    With ``uses_admission``, requests that are not expected to start well before their
    deadline are shed.
    """

    def __init__(
        self, context: EntryContext, policy: PlacementPolicy, *, uses_admission: bool
    ) -> None:
        self._context = context
        self._policy = policy
        self._uses_admission = uses_admission
        self._views = ServerViews(context)

    def note_sent(self, server: str) -> None:
        """Count a request sent to a server since the server's last report."""
        self._views.note_sent(server)

    def placement_on(self, service: str, server: str) -> Placement | None:
        """Return a placement on the given server, ``None`` if it is not usable."""
        for view in self._views.of_service(service):
            if view.server == server:
                return Placement(server, view.owner_address, 0.0, needs_load=False)
        return None

    def place(
        self, order: WorkOrder, excluded: frozenset[str]
    ) -> Placement | AnswerRefused:
        """Return the policy's placement, or a refusal if the request is shed."""
        now = self._context.clock.monotonic()
        slot_seconds = self._slot_seconds(order)
        query = PlacementQuery(
            order.adapter,
            slot_seconds,
            self._context.domain,
            order.affinity,
            excluded,
            self.expected_load_wait(),
        )
        placement = self._policy.choose(query, self._views.of_service(order.service))
        if placement is None:
            refusal = Refusal(RefusalReason.NO_SERVER, Ran.NO, retry_after=1.0)
            return AnswerRefused(refusal)
        if not self._uses_admission:
            return placement
        decision = admit(
            placement.wait_seconds,
            order.deadline - now,
            needs_load=placement.needs_load,
        )
        if not decision.is_admitted and decision.reason is not None:
            refusal = Refusal(
                decision.reason, Ran.NO, retry_after=decision.retry_after or None
            )
            return AnswerRefused(refusal)
        return placement

    def expected_load_wait(self) -> float:
        """Return the seconds that another adapter load would wait for the weight store.

        The loads waiting on all hosts start at the declared rate.
        """
        configuration = self._context.configuration()
        if configuration is None:
            return 0.0
        hosts = self._context.view.hosts.values()
        waiting = sum(report.waiting_loads for report in hosts)
        return waiting / configuration.limits.loads_per_second

    def _slot_seconds(self, order: WorkOrder) -> float:
        """Estimate the seconds that the request will occupy a running slot."""
        configuration = self._context.configuration()
        if order.adapter is None and configuration is not None:
            found = configuration.operation(order.service, order.operation)
            return _BASE_SLOT_SECONDS if found is None else found.expected_seconds
        return _BASE_SLOT_SECONDS + order.expected_tokens * _SLOT_SECONDS_PER_TOKEN
