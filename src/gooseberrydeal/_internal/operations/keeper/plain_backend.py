"""Run jobs on a server of a plain service."""

import asyncio
import random
from typing import Final

from gooseberrydeal._internal.exceptions import ServerError, ServerUnreachableError
from gooseberrydeal._internal.models.messages.copy_report import CopyReport
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.network.interfaces.plain_server import PlainServer
from gooseberrydeal._internal.operations.keeper.job import Job
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.keeper.server_owner import ServerOwner
from gooseberrydeal._internal.utils.tasks import TaskOwner

_POLL_SECONDS: Final = 2.0
_RECOVER_SECONDS: Final = 0.5


class PlainBackend:
    """Send each call once and pass the answer on."""

    def __init__(
        self, owner: ServerOwner, server: PlainServer, context: KeeperContext
    ) -> None:
        self._owner = owner
        self._server = server
        self._context = context
        self._is_reachable = False
        self._tasks = TaskOwner()

    @property
    def accepts(self) -> bool:
        """Return whether the server can be given work."""
        return self._is_reachable

    def is_ready(self, item: WorkItem) -> bool:
        """Return that nothing has to be loaded."""
        return True

    def can_obtain_slot(self, item: WorkItem) -> bool:
        """Return that any item can start."""
        return True

    def refusal(self, item: WorkItem) -> Refusal | None:
        """Return that any item is taken."""
        return None

    def expected_load_wait(self, item: WorkItem) -> float:
        """Return that nothing has to be loaded."""
        return 0.0

    def queued(self, job: Job) -> None:
        """Do nothing, since nothing has to be loaded."""

    def dequeued(self, job: Job) -> None:
        """Do nothing, since nothing has to be loaded."""

    async def run(self, job: Job) -> None:
        """Run a job to its end and answer it."""
        submit = job.submit
        clock = self._context.clock
        queued = clock.monotonic() - job.item.arrived
        await job.stream.start(self._owner.declared.name, queued, waited_for_load=False)
        job.has_started = True
        self._owner.pace.started(job.item.request_id, clock.monotonic())
        try:
            answer = await self._server.call(
                submit.operation,
                job.item.request_id,
                submit.content_type,
                submit.body,
                repeatable=submit.repeatable,
            )
        except ServerUnreachableError:
            self._set_reachable(is_reachable=False)
            await self._refuse(job, Ran.NO)
            return
        except ServerError:
            await self._refuse(job, Ran.UNKNOWN)
            return
        self._owner.pace.progressed(job.item.request_id, 1, clock.monotonic())
        await job.stream.finish_plain(answer)

    def copies(self) -> tuple[CopyReport, ...]:
        """Return that there are no adapters."""
        return ()

    def victim_demand(self) -> float | None:
        """Return that nothing would be evicted."""
        return 0.0

    async def recover(self) -> None:
        """Check the server, then keep checking."""
        self._set_reachable(is_reachable=await self._server.ready())
        self._tasks.start(self._poll(), f"poll {self._owner.declared.name}")

    async def close(self) -> None:
        """Close all connections."""
        await self._tasks.stop()
        await self._server.close()

    async def _refuse(self, job: Job, ran: Ran) -> None:
        reason = RefusalReason.SERVER_FAILED
        self._context.metrics.count_refusal(reason)
        await job.stream.refuse(Refusal(reason, ran))

    async def _poll(self) -> None:
        while True:
            pause = _POLL_SECONDS if self._is_reachable else _RECOVER_SECONDS
            await asyncio.sleep(pause * random.uniform(0.9, 1.1))
            self._set_reachable(is_reachable=await self._server.ready())

    def _set_reachable(self, *, is_reachable: bool) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        self._context.report_changed()
