"""Run jobs on a server of a plain service, which is one without an engine."""

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
_UNREACHABLE_POLL_SECONDS: Final = 0.5


class PlainBackend:
    """Send each call to the server once and forward the response."""

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
        """Return whether the server is reachable, as of the last check or call."""
        return self._is_reachable

    def is_ready(self, item: WorkItem) -> bool:
        """Return ``True``, since no adapter has to be loaded."""
        return True

    def can_obtain_slot(self, item: WorkItem) -> bool:
        """Return ``True``, since an item needs no adapter slot."""
        return True

    def refusal(self, item: WorkItem) -> Refusal | None:
        """Return ``None``, since every item is accepted."""
        return None

    def expected_load_wait(self, item: WorkItem) -> float:
        """Return 0, since no adapter has to be loaded."""
        return 0.0

    def queued(self, job: Job) -> None:
        """Do nothing, since there is no adapter to reserve."""

    def dequeued(self, job: Job) -> None:
        """Do nothing, since there is no adapter to release."""

    async def run(self, job: Job) -> None:
        """Run a job and send its response."""
        submit = job.submit
        clock = self._context.clock
        queued = clock.monotonic() - job.item.arrived
        await job.stream.start(self._owner.declared.name, queued, waited_for_load=False)
        job.has_started = True
        self._owner.latency.started(job.item.request_id, clock.monotonic())
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
        self._owner.latency.progressed(job.item.request_id, 1, clock.monotonic())
        await job.stream.finish_plain(answer)

    def copies(self) -> tuple[CopyReport, ...]:
        """Return no copies, since a plain service has no adapters."""
        return ()

    def victim_demand(self) -> float | None:
        """Return 0, since nothing is ever evicted."""
        return 0.0

    async def recover(self) -> None:
        """Check the server's health, then keep polling it."""
        self._set_reachable(is_reachable=await self._server.ready())
        self._tasks.start(self._poll(), f"poll {self._owner.declared.name}")

    async def close(self) -> None:
        """Stop polling and close the connections to the server."""
        await self._tasks.stop()
        await self._server.close()

    async def _refuse(self, job: Job, ran: Ran) -> None:
        reason = RefusalReason.SERVER_FAILED
        self._context.metrics.count_refusal(reason)
        await job.stream.refuse(Refusal(reason, ran))

    async def _poll(self) -> None:
        while True:
            pause = _POLL_SECONDS if self._is_reachable else _UNREACHABLE_POLL_SECONDS
            await asyncio.sleep(pause * random.uniform(0.9, 1.1))
            self._set_reachable(is_reachable=await self._server.ready())

    def _set_reachable(self, *, is_reachable: bool) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        self._context.report_changed()
