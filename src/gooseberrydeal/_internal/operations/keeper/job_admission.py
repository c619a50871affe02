"""Create queue items for requests and decide on their admission."""

from collections.abc import Callable

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.ids import (
    AdapterName,
    CallerName,
    ClassName,
    RequestId,
    VersionName,
)
from gooseberrydeal._internal.models.messages.submit import Submit
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.work_class import WorkClass
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.keeper.server_backend import ServerBackend
from gooseberrydeal._internal.policy.admission import admit
from gooseberrydeal._internal.policy.crash_suspects import SuspectHandling
from gooseberrydeal._internal.policy.pace_tracker import LatencyTracker

QueueWait = Callable[[int], float]


class JobAdmission:
    """Admit or refuse the requests for one server.

    ``queue_wait`` returns the expected queue wait in seconds of a request with the
    given importance.
    """

    def __init__(
        self,
        context: KeeperContext,
        latency: LatencyTracker,
        class_of: Callable[[str], WorkClass],
        queue_wait: QueueWait,
    ) -> None:
        self._context = context
        self._latency = latency
        self._class_of = class_of
        self._queue_wait = queue_wait

    def create_item(self, submit: Submit) -> WorkItem:
        """Create the queue item of a request that arrives now."""
        now = self._context.clock.monotonic()
        adapter = None
        if submit.adapter:
            adapter = AdapterRef(
                AdapterName(submit.adapter), VersionName(submit.version)
            )
        return WorkItem(
            request_id=RequestId(submit.request_id),
            caller=CallerName(submit.caller),
            work_class=ClassName(submit.work_class),
            importance=self._class_of(submit.work_class).importance,
            arrived=now,
            deadline=now + submit.deadline_left,
            slot_seconds=self._latency.first
            + submit.expected_tokens * self._latency.gap,
            adapter=adapter,
            is_suspect=self._suspect_handling(submit) is not SuspectHandling.NONE,
        )

    def refusal(
        self, submit: Submit, item: WorkItem, backend: ServerBackend
    ) -> Refusal | None:
        """Return why a request must not be queued, or ``None`` to queue it."""
        if self._suspect_handling(submit) is SuspectHandling.REFUSE:
            return Refusal(
                RefusalReason.CRASH_SUSPECT, Ran.NO, "servers crashed while running it"
            )
        refusal = backend.refusal(item)
        if refusal is not None or self._context.is_plain:
            return refusal
        load_wait = backend.expected_load_wait(item)
        wait = self._queue_wait(item.importance) + load_wait
        admission = admit(wait, submit.deadline_left, needs_load=load_wait > 0)
        if admission.is_admitted or admission.reason is None:
            return None
        return Refusal(admission.reason, Ran.NO, retry_after=admission.retry_after)

    def _suspect_handling(self, submit: Submit) -> SuspectHandling:
        if not submit.fingerprint:
            return SuspectHandling.NONE
        now = self._context.clock.monotonic()
        return self._context.suspects.handling_of(submit.fingerprint, now)


def not_serving_refusal(is_serving: bool, is_leaving: bool) -> Refusal | None:
    """Return the refusal of a server that is not serving, ``None`` if it is."""
    if is_serving:
        return None
    reason = RefusalReason.SERVER_LEAVING if is_leaving else RefusalReason.NOT_OWNER
    return Refusal(reason, Ran.NO)
