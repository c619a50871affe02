"""Refuse requests that have not been started."""

import contextlib
from collections.abc import Callable

from gooseberrydeal._internal.exceptions import PeerLostError
from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.network.served_stream import ServedStream
from gooseberrydeal._internal.operations.keeper.job import Job
from gooseberrydeal._internal.operations.keeper.job_table import JobTable
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.keeper.overdue import overdue_refusal
from gooseberrydeal._internal.utils.tasks import TaskOwner


class JobRejector:
    """Remove waiting jobs from the queue and refuse them.

    ``drop`` removes a job from the queue and returns whether it was still waiting.
    """

    def __init__(
        self,
        context: KeeperContext,
        jobs: JobTable,
        drop: Callable[[Job], bool],
        tasks: TaskOwner,
    ) -> None:
        self._context = context
        self._jobs = jobs
        self._drop = drop
        self._tasks = tasks

    async def refuse(self, stream: ServedStream, refusal: Refusal) -> None:
        """End a stream with a refusal; ignore a lost connection."""
        self._context.metrics.count_refusal(refusal.reason)
        with contextlib.suppress(PeerLostError):
            await stream.refuse(refusal)

    def refuse_waiting(self, reason: RefusalReason) -> None:
        """Refuse all waiting jobs as not executed."""
        for job in self._jobs.waiting:
            self._refuse_job(job, Refusal(reason, Ran.NO))

    def refuse_adapter(self, adapter: AdapterRef, refusal: Refusal) -> None:
        """Refuse all waiting jobs of an adapter."""
        for job in self._jobs.waiting:
            if job.item.adapter == adapter:
                self._refuse_job(job, refusal)

    def refuse_overdue(
        self, now: float, can_obtain_slot: Callable[[WorkItem], bool]
    ) -> None:
        """Refuse waiting jobs that cannot start on this server in time."""
        for job in self._jobs.waiting:
            refusal = overdue_refusal(job.item, now, can_obtain_slot)
            if refusal is not None:
                self._refuse_job(job, refusal)

    def _refuse_job(self, job: Job, refusal: Refusal) -> None:
        if self._drop(job):
            self._context.journal.note(
                f"refused: {refusal.reason.value}", job.item.request_id
            )
            self._tasks.start(self.refuse(job.stream, refusal), "refuse")
