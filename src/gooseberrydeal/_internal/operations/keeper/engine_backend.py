"""Run jobs on a model engine and manage its adapter slots."""

import asyncio
import contextlib
import logging
import random
from collections.abc import AsyncIterator
from typing import Final

from gooseberrydeal._internal.exceptions import (
    ServerBrokenError,
    ServerError,
    ServerRefusedError,
    ServerUnreachableError,
    WrongAnswerError,
)
from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.engine_request import EngineRequest
from gooseberrydeal._internal.models.engine_tokens import EngineTokens
from gooseberrydeal._internal.models.messages.copy_report import CopyReport
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.network.interfaces.engine import Engine
from gooseberrydeal._internal.operations.keeper.adapter_loader import AdapterLoader
from gooseberrydeal._internal.operations.keeper.crash_watch import CrashWatch
from gooseberrydeal._internal.operations.keeper.engine_refusal import refusal_from_error
from gooseberrydeal._internal.operations.keeper.engine_requests import engine_request
from gooseberrydeal._internal.operations.keeper.engine_slots import EngineSlots
from gooseberrydeal._internal.operations.keeper.job import Job
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.keeper.server_owner import ServerOwner
from gooseberrydeal._internal.operations.keeper.settling import cancel_until_ended
from gooseberrydeal._internal.policy.slot_table import SlotCopy
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

_POLL_SECONDS: Final = 2.0
_NOT_FOUND_STATUS: Final = 404
_UNREACHABLE_POLL_SECONDS: Final = 0.5


class EngineBackend:
    """Stream generated text and count the requests that use each adapter copy."""

    def __init__(
        self,
        owner: ServerOwner,
        engine: Engine,
        slots: EngineSlots,
        loader: AdapterLoader,
        context: KeeperContext,
    ) -> None:
        self._owner = owner
        self._engine = engine
        self._slots = slots
        self._loader = loader
        self._context = context
        self._is_reachable = False
        self._crash_watch = CrashWatch(
            owner.declared.name, engine, slots, context, self._set_unreachable
        )
        self._tasks = TaskOwner()

    @property
    def accepts(self) -> bool:
        """Return whether the engine is reachable."""
        return self._is_reachable

    @property
    def slots(self) -> EngineSlots:
        """Return the engine's adapter slots."""
        return self._slots

    def is_ready(self, item: WorkItem) -> bool:
        """Return whether the item's adapter is loaded."""
        adapter = item.adapter
        return adapter is not None and self._slots.ready_copy(adapter) is not None

    def can_obtain_slot(self, item: WorkItem) -> bool:
        """Return whether the adapter is loaded, is loading or could get a slot now."""
        if item.adapter is None:
            return False
        if self.is_ready(item) or self._slots.is_loading(item.adapter):
            return True
        return self._loader.has_slot()

    def refusal(self, item: WorkItem) -> Refusal | None:
        """Return the reason for refusing the item, or ``None``."""
        if item.adapter is None:
            return Refusal(RefusalReason.UNKNOWN_MODEL, Ran.NO)
        if self.is_ready(item):
            return None
        return self._loader.refusal(item.adapter)

    def expected_load_wait(self, item: WorkItem) -> float:
        """Return the estimated seconds until the adapter is loaded, 0 if it is."""
        if item.adapter is None or self.is_ready(item):
            return 0.0
        return self._loader.expected_wait(item.adapter)

    def queued(self, job: Job) -> None:
        """Reserve the adapter, and request a load if it is not loaded."""
        if job.item.adapter is None:
            return
        self._slots.reserve(job.item.adapter)
        if not self.is_ready(job.item):
            self._loader.request_load(job.item)

    def dequeued(self, job: Job) -> None:
        """Release the reservation; withdraw the load request if it was the last one."""
        adapter = job.item.adapter
        if adapter is None:
            return
        self._slots.release(adapter)
        if self._slots.reserved(adapter) == 0:
            self._loader.withdraw(adapter)

    async def run(self, job: Job) -> None:
        """Run a job and send its response."""
        assert job.item.adapter is not None
        if job.submit.offset > 0:
            await self._run_resumed(job, job.item.adapter)
            return
        copy = self._slots.ready_copy(job.item.adapter)
        if copy is None:
            self._owner.requeue(job)
            return
        self._slots.begin_use(copy, self._now())
        is_done = False
        try:
            queued = self._now() - job.item.arrived
            await job.stream.start(
                self._owner.declared.name, queued, waited_for_load=job.waited_for_load
            )
            job.has_started = True
            self._owner.latency.started(job.item.request_id, self._now())
            is_done = await self._run_generation(job, copy.name)
        finally:
            # A request that the engine may still execute keeps its copy in use.
            if is_done or not job.has_started:
                self._release_copy(copy)
            else:
                self._tasks.start(self._release_copy_after_cancel(job, copy), "settle")

    def copies(self) -> tuple[CopyReport, ...]:
        """Return the copies that are loaded, loading or waiting to be loaded."""
        return self._slots.copy_reports(self._loader.pending_loads())

    def victim_demand(self) -> float | None:
        """Return the demand for the copy to evict next; see :class:`AdapterLoader`."""
        return self._loader.victim_demand()

    async def recover(self) -> None:
        """Read the engine's state, then keep polling it."""
        with contextlib.suppress(ServerError):
            await self._resync()
        self._tasks.start(self._poll(), f"poll {self._owner.declared.name}")

    async def close(self) -> None:
        """Cancel all tasks and close the connections to the engine."""
        await self._loader.stop()
        await self._tasks.stop()
        await self._engine.close()

    async def _run_generation(self, job: Job, copy: str) -> bool:
        """Stream the response; return whether the engine is done with the request."""
        try:
            await self._stream(job, self._engine.generate(self._request(job, copy)))
        except ServerUnreachableError:
            self._set_reachable(is_reachable=False)
            await self._refuse(job, RefusalReason.SERVER_FAILED, Ran.NO)
            return True
        except ServerRefusedError as error:
            await self._handle_refusal(job, error)
            return True
        except WrongAnswerError:
            logger.error(
                "engine returned the response of another request",
                extra={"request_id": job.item.request_id},
            )
            await self._refuse(job, RefusalReason.SERVER_FAILED, Ran.UNKNOWN)
            return False
        except ServerBrokenError:
            return await self._resume_interrupted(job, copy)
        self._context.suspects.clear(job.submit.fingerprint)
        return True

    async def _run_resumed(self, job: Job, adapter: AdapterRef) -> None:
        """Resume a stream that was started before, maybe under another owner.

        This is not counted as another use of the copy, since the original run already
        protects the copy from eviction while the engine executes the request.
        """
        await job.stream.start(self._owner.declared.name, 0.0, waited_for_load=False)
        job.has_started = True
        copy = adapter.copy_name(self._owner.epoch)
        try:
            await self._stream(job, self._engine.resume(self._request(job, copy)))
        except ServerError:
            await self._refuse(job, RefusalReason.STREAM_CUT, Ran.UNKNOWN)

    def _request(self, job: Job, copy: str) -> EngineRequest:
        declared = self._context.configuration().work_class(job.submit.work_class)
        return engine_request(job, copy, declared.engine_priority)

    async def _stream(self, job: Job, parts: AsyncIterator[EngineTokens]) -> None:
        finish_reason = ""
        prompt_tokens = 0
        async for part in parts:
            if part.count:
                self._owner.latency.progressed(
                    job.item.request_id, part.count, self._now()
                )
                await job.stream.send(part.text, part.count)
            finish_reason = part.finish_reason or finish_reason
            prompt_tokens = part.prompt_tokens or prompt_tokens
        if not finish_reason:
            raise ServerBrokenError("engine stream ended without a finish reason")
        await job.stream.finish(finish_reason, prompt_tokens)

    async def _handle_refusal(self, job: Job, error: ServerRefusedError) -> None:
        if error.status == _NOT_FOUND_STATUS and job.stream.tokens_sent == 0:
            # The engine has not run the request, since it does not hold the copy.
            with contextlib.suppress(ServerError):
                await self._resync()
            self._owner.requeue(job)
            return
        refusal = refusal_from_error(error, has_tokens=job.stream.tokens_sent > 0)
        if refusal.ran is Ran.UNKNOWN:
            await self._crash_watch.check(self._owner.running)
        await self._refuse(job, refusal.reason, refusal.ran)

    async def _resume_interrupted(self, job: Job, copy: str) -> bool:
        """Resume an interrupted stream; return whether the engine is done with it."""
        if await self._crash_watch.check(self._owner.running):
            await self._refuse(job, RefusalReason.SERVER_FAILED, Ran.UNKNOWN)
            return True
        request = self._request(job, copy)
        try:
            await self._stream(job, self._engine.resume(request))
        except ServerError:
            await self._refuse(job, RefusalReason.STREAM_CUT, Ran.UNKNOWN)
            return False
        self._context.journal.note(
            f"stream resumed at token {request.offset}", job.item.request_id
        )
        return True

    async def _refuse(self, job: Job, reason: RefusalReason, ran: Ran) -> None:
        self._context.metrics.count_refusal(reason)
        self._context.journal.note(f"ended: {reason.value}", job.item.request_id)
        await job.stream.refuse(Refusal(reason, ran))

    async def _release_copy_after_cancel(self, job: Job, copy: SlotCopy) -> None:
        await cancel_until_ended(self._engine, job.item.request_id, self._context.clock)
        self._release_copy(copy)

    def _release_copy(self, copy: SlotCopy) -> None:
        self._slots.end_use(copy, self._now())
        self._loader.start_waiting_loads()
        self._owner.start_jobs()

    async def _resync(self) -> None:
        changes = self._slots.changes
        state = await self._engine.state()
        self._slots.reconcile(state, changes)
        self._set_reachable(is_reachable=True)
        self._loader.start_waiting_loads()
        self._owner.start_jobs()

    async def _poll(self) -> None:
        while True:
            pause = _POLL_SECONDS if self._is_reachable else _UNREACHABLE_POLL_SECONDS
            await asyncio.sleep(pause * random.uniform(0.9, 1.1))
            try:
                await self._resync()
            except ServerError:
                self._set_reachable(is_reachable=False)

    def _set_reachable(self, *, is_reachable: bool) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        logger.info(
            "engine is %s",
            "reachable" if is_reachable else "unreachable",
            extra={"server": self._owner.declared.name},
        )
        self._context.report_changed()

    def _set_unreachable(self) -> None:
        self._set_reachable(is_reachable=False)

    def _now(self) -> float:
        return self._context.clock.monotonic()
