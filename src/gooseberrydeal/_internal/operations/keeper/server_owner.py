"""Own one backend server: its queue, its running work and its reports."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.exceptions import PeerLostError
from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.ids import (
    AdapterName,
    CallerName,
    ClassName,
    FencingNumber,
    RequestId,
    VersionName,
)
from gooseberrydeal._internal.models.lifecycle import Lifecycle
from gooseberrydeal._internal.models.messages.copy_report import CopyReport
from gooseberrydeal._internal.models.messages.server_report import ServerReport
from gooseberrydeal._internal.models.messages.slots_report import SlotsReport
from gooseberrydeal._internal.models.messages.submit import Submit
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.work_class import WorkClass
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.network.served_stream import ServedStream
from gooseberrydeal._internal.operations.keeper.job import Job
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.keeper.server_backend import ServerBackend
from gooseberrydeal._internal.policy.admission import admit
from gooseberrydeal._internal.policy.class_share import ClassShare
from gooseberrydeal._internal.policy.crash_suspects import Suspicion
from gooseberrydeal._internal.policy.pace_tracker import PaceTracker, usual_of
from gooseberrydeal._internal.policy.work_queue import WorkQueue
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

_TICK_SECONDS: Final = 0.05
_SLOW_REFUSAL_RATIO: Final = 3.0
_NO_SLOT_SECONDS: Final = 1.0
_REPORT_AGAIN_SECONDS: Final = 5.0
_LEARN_SECONDS: Final = 1.0


class ServerOwner:
    """Queue, start and finish the work of one server; only its owner gives orders."""

    def __init__(
        self,
        declared: BackendServer,
        epoch: FencingNumber,
        context: KeeperContext,
        pace: PaceTracker,
        class_of: Callable[[str], WorkClass],
    ) -> None:
        self._declared = declared
        self._epoch = epoch
        self._context = context
        self._pace = pace
        self._class_of = class_of
        self._backend: ServerBackend | None = None
        self._queue = WorkQueue(self._share_of)
        self._waiting: dict[RequestId, Job] = {}
        self._running: dict[RequestId, Job] = {}
        self._lifecycle = Lifecycle()
        self._alone: Job | None = None
        self._is_listed_leaving = False
        self._sequence = 0
        self._reported_copies: tuple[CopyReport, ...] | None = None
        self._reported: ServerReport | None = None
        self._reported_at = 0.0
        self._learned_at = 0.0
        self._last_slowdown = 1.0
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks = TaskOwner()

    @property
    def declared(self) -> BackendServer:
        """Return the server's declaration."""
        return self._declared

    @property
    def epoch(self) -> FencingNumber:
        """Return the fencing number of this ownership."""
        return self._epoch

    @property
    def pace(self) -> PaceTracker:
        """Return the server's pace."""
        return self._pace

    @property
    def is_serving(self) -> bool:
        """Return whether new work is taken."""
        backend = self._backend
        return (
            self._lifecycle.is_serving
            and not self.is_leaving
            and backend is not None
            and backend.accepts
        )

    @property
    def is_leaving(self) -> bool:
        """Return whether configuration or platform say that the server leaves."""
        return self._declared.state == "leaving" or self._is_listed_leaving

    @property
    def running(self) -> list[Job]:
        """Return the jobs that were started."""
        return list(self._running.values())

    @property
    def waiting(self) -> list[Job]:
        """Return the jobs that were not started."""
        return list(self._waiting.values())

    def attach(self, backend: ServerBackend) -> None:
        """Give the owner the means to run jobs."""
        self._backend = backend

    async def start(self) -> None:
        """Learn the server's state, then take work."""
        self._tasks.start(self._tick(), f"tick {self._declared.name}")
        assert self._backend is not None
        await self._backend.recover()
        self._lifecycle.serve()
        self._context.report_changed()

    def redeclare(self, declared: BackendServer) -> None:
        """Take a changed declaration into force."""
        if declared == self._declared:
            return
        self._declared = declared
        self._leaving_changed()

    def set_listed_leaving(self, *, is_leaving: bool) -> None:
        """Take over what the platform's host list says."""
        if is_leaving == self._is_listed_leaving:
            return
        self._is_listed_leaving = is_leaving
        self._leaving_changed()

    def fenced(self) -> None:
        """Note that the server has a newer owner, so that orders are of no use."""
        self._lifecycle.drain()
        self._refuse_waiting(RefusalReason.NOT_OWNER)
        self._context.report_changed()

    async def submit(self, submit: Submit, stream: ServedStream) -> None:
        """Queue a request, or refuse it as not run; resume a cut one at once."""
        if submit.offset > 0 and self._lifecycle.is_serving:
            self._start(Job(self._item_of(submit), submit, stream))
            return
        refusal = self._refusal_of(submit)
        if refusal is not None:
            await self._refuse(stream, refusal)
            return
        job = Job(self._item_of(submit), submit, stream)
        self._waiting[job.item.request_id] = job
        self._queue.push(job.item)
        if self._backend is not None:
            job.waited_for_load = not self._backend.is_ready(job.item)
            self._backend.queued(job)
        self.pump()

    def cancel(self, stream: ServedStream) -> None:
        """Withdraw the job of a stream."""
        for job in [*self._waiting.values(), *self._running.values()]:
            if job.stream is stream:
                self._cancel_job(job)

    def connection_lost(self, stream: ServedStream) -> None:
        """Withdraw a job whose reader is gone, unless it must not be repeated."""
        for job in [*self._waiting.values(), *self._running.values()]:
            if job.stream is stream and (job.submit.repeatable or not job.has_started):
                self._cancel_job(job)

    def pump(self) -> None:
        """Start what can be started."""
        backend = self._backend
        if backend is None or not self._lifecycle.is_serving:
            return
        now = self._context.clock.monotonic()
        while self._has_free_slot():
            item = self._queue.pop(now, self._is_eligible)
            if item is None:
                return
            job = self._waiting.pop(item.request_id)
            backend.unqueued(job)
            if item.is_suspect:
                self._alone = job
                job.is_alone = True
            self._start(job)

    def _start(self, job: Job) -> None:
        self._running[job.item.request_id] = job
        self._idle.clear()
        name = f"job {job.item.request_id}"
        job.task = self._tasks.start(self._run(job), name)

    def report(self) -> ServerReport | None:
        """Return a report if there is news, or the last one is old."""
        now = self._context.clock.monotonic()
        last = self._reported
        report = self._new_report(now)
        is_same = last is not None and replace(report, sequence=last.sequence) == last
        if is_same and now - self._reported_at < _REPORT_AGAIN_SECONDS:
            return None
        self._sequence = report.sequence
        self._reported = report
        self._reported_at = now
        return report

    def _new_report(self, now: float) -> ServerReport:
        backend = self._backend
        return ServerReport(
            server=self._declared.name,
            epoch=self._epoch,
            sequence=self._sequence + 1,
            owner=self._context.host,
            owner_address=self._context.address,
            accepts=self.is_serving,
            running=len(self._running),
            queued=self._queue.count,
            concurrency=self._declared.concurrency,
            wait_seconds=round(self._queue_wait(0), 2),
            slowdown=round(self._pace.slowdown(now), 1),
            victim_demand=_rounded(backend.victim_demand() if backend else None),
            first_seconds=round(self._pace.measured_first, 2),
            gap_seconds=round(self._pace.measured_gap, 3),
        )

    def slots_report(self) -> SlotsReport | None:
        """Return a report of the adapters if they have changed."""
        backend = self._backend
        copies = backend.copies() if backend is not None else ()
        if copies == self._reported_copies:
            return None
        self._reported_copies = copies
        self._sequence += 1
        return SlotsReport(self._declared.name, self._epoch, self._sequence, copies)

    async def drain(self) -> None:
        """Refuse waiting work and let running work end."""
        self._lifecycle.drain()
        self._refuse_waiting(RefusalReason.SHUTTING_DOWN)
        self._context.report_changed()
        await self._idle.wait()

    async def stop(self) -> int:
        """End at once; return how many running jobs were cut."""
        cut = len(self._running)
        self._lifecycle.stop()
        self._refuse_waiting(RefusalReason.NOT_OWNER)
        await self._tasks.stop()
        if self._backend is not None:
            await self._backend.close()
        return cut

    def requeue(self, job: Job) -> None:
        """Put a started job back that the server has proven not to have run."""
        job.has_started = False
        job.waited_for_load = True
        self._queue.finished(job.item)
        self._running.pop(job.item.request_id, None)
        self._waiting[job.item.request_id] = job
        self._queue.push(job.item)
        if self._backend is not None:
            self._backend.queued(job)

    def refuse_adapter(self, adapter: AdapterRef, refusal: Refusal) -> None:
        """Refuse all waiting work for an adapter."""
        for job in list(self._waiting.values()):
            if job.item.adapter == adapter:
                self._refuse_job(job, refusal)

    def _leaving_changed(self) -> None:
        if self.is_leaving:
            self._refuse_waiting(RefusalReason.SERVER_LEAVING)
        self._context.report_changed()

    def _share_of(self, name: ClassName) -> ClassShare:
        if self._context.is_plain:
            return ClassShare(1.0, self._declared.concurrency, 0.0)
        return ClassShare.from_class(self._class_of(name), self._declared.concurrency)

    def _refusal_of(self, submit: Submit) -> Refusal | None:
        if not self.is_serving:
            reason = RefusalReason.NOT_OWNER
            if self.is_leaving:
                reason = RefusalReason.SERVER_LEAVING
            return Refusal(reason, Ran.NO)
        now = self._context.clock.monotonic()
        verdict = self._context.suspects.judge(submit.fingerprint, now)
        if submit.fingerprint and verdict is Suspicion.REFUSE:
            return Refusal(
                RefusalReason.CRASH_SUSPECT, Ran.NO, "servers crashed while running it"
            )
        return self._admission_refusal(submit)

    def _admission_refusal(self, submit: Submit) -> Refusal | None:
        declared = self._class_of(submit.work_class)
        item = self._item_of(submit)
        backend = self._backend
        refusal = backend.refusal(item) if backend is not None else None
        if refusal is not None:
            return refusal
        if self._context.is_plain:
            return None
        extra = backend.extra_wait(item) if backend is not None else 0.0
        wait = self._queue_wait(declared.importance) + extra
        verdict = admit(wait, submit.deadline_left)
        if verdict.is_admitted or verdict.reason is None:
            return None
        return Refusal(verdict.reason, Ran.NO, retry_after=verdict.retry_after)

    def _queue_wait(self, importance: int) -> float:
        concurrency = self._declared.concurrency
        ahead = self._queue.seconds_before(importance)
        if len(self._running) >= concurrency:
            ahead += sum(j.item.slot_seconds for j in self._running.values()) / 2
        now = self._context.clock.monotonic()
        return ahead / concurrency * self._pace.slowdown(now)

    def _item_of(self, submit: Submit) -> WorkItem:
        now = self._context.clock.monotonic()
        adapter = None
        if submit.adapter:
            adapter = AdapterRef(
                AdapterName(submit.adapter), VersionName(submit.version)
            )
        verdict = Suspicion.NONE
        if submit.fingerprint:
            verdict = self._context.suspects.judge(submit.fingerprint, now)
        return WorkItem(
            request_id=RequestId(submit.request_id),
            caller=CallerName(submit.caller),
            work_class=ClassName(submit.work_class),
            importance=self._class_of(submit.work_class).importance,
            arrived=now,
            deadline=now + submit.deadline_left,
            slot_seconds=self._pace.first + submit.expected_tokens * self._pace.gap,
            adapter=adapter,
            is_suspect=verdict is not Suspicion.NONE,
        )

    def _has_free_slot(self) -> bool:
        if self._alone is not None:
            return False
        return len(self._running) < self._declared.concurrency

    def _is_eligible(self, item: WorkItem) -> bool:
        if self._backend is None or not self._backend.is_ready(item):
            return False
        if item.is_suspect:
            return not self._running
        return not self._has_waiting_suspect()

    def _has_waiting_suspect(self) -> bool:
        return any(
            job.item.is_suspect
            and self._backend is not None
            and self._backend.is_ready(job.item)
            for job in self._waiting.values()
        )

    async def _run(self, job: Job) -> None:
        assert self._backend is not None
        now = self._context.clock.monotonic()
        self._context.metrics.queue_wait(job.submit.service, now - job.item.arrived)
        try:
            await self._backend.run(job)
        except PeerLostError:
            logger.info(
                "reader is gone",
                extra={"request_id": job.item.request_id},
            )
        finally:
            self._ended(job)

    def _ended(self, job: Job) -> None:
        self._pace.ended(job.item.request_id, self._context.clock.monotonic())
        is_resumed = job.submit.offset > 0
        if self._running.pop(job.item.request_id, None) is not None and not is_resumed:
            self._queue.finished(job.item)
        if self._alone is job:
            self._alone = None
        if not self._running:
            self._idle.set()
        self.pump()

    def _cancel_job(self, job: Job) -> None:
        job.is_cancelled = True
        if job.item.request_id in self._waiting:
            self._drop_waiting(job)
        elif job.task is not None:
            job.task.cancel()

    def _drop_waiting(self, job: Job) -> None:
        self._waiting.pop(job.item.request_id, None)
        self._queue.remove(job.item)
        if self._backend is not None:
            self._backend.unqueued(job)

    def _refuse_waiting(self, reason: RefusalReason) -> None:
        for job in list(self._waiting.values()):
            self._refuse_job(job, Refusal(reason, Ran.NO))

    def _refuse_job(self, job: Job, refusal: Refusal) -> None:
        self._drop_waiting(job)
        self._tasks.start(self._refuse(job.stream, refusal), "refuse")

    async def _refuse(self, stream: ServedStream, refusal: Refusal) -> None:
        self._context.metrics.refused(refusal.reason)
        with contextlib.suppress(PeerLostError):
            await stream.refuse(refusal)

    def _learn_usual_pace(self, now: float) -> None:
        """Take the pace of the service's servers as the usual one."""
        if now - self._learned_at < _LEARN_SECONDS:
            return
        self._learned_at = now
        configuration = self._context.configuration()
        peers = [
            report
            for name, report in self._context.view.servers.items()
            if name != self._declared.name
            and (found := configuration.server(name)) is not None
            and found.service == self._declared.service
        ]
        first = usual_of((r.first_seconds for r in peers), self._pace.usual_first)
        gap = usual_of((r.gap_seconds for r in peers), self._pace.usual_gap)
        self._pace.set_usual(first, gap)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            now = self._context.clock.monotonic()
            self._learn_usual_pace(now)
            self._refuse_expired(now)
            if not self._context.is_plain:
                self._refuse_stuck(now)
                self._note_slowdown(self._pace.slowdown(now))
            self.pump()

    def _refuse_expired(self, now: float) -> None:
        for job in list(self._waiting.values()):
            if job.item.deadline <= now:
                self._refuse_job(job, Refusal(RefusalReason.DEADLINE, Ran.NO))

    def _refuse_stuck(self, now: float) -> None:
        """Give work back that can't get an adapter slot here soon."""
        backend = self._backend
        if backend is None:
            return
        for job in list(self._waiting.values()):
            waited = now - job.item.arrived
            if waited > _NO_SLOT_SECONDS and not backend.can_ever_start(job.item):
                refusal = Refusal(
                    RefusalReason.OVERLOADED, Ran.NO, "no adapter slot", 1.0
                )
                self._refuse_job(job, refusal)

    def _note_slowdown(self, slowdown: float) -> None:
        has_become_slow = (
            slowdown >= _SLOW_REFUSAL_RATIO > self._last_slowdown and self._waiting
        )
        if (slowdown > 1.0) != (self._last_slowdown > 1.0):
            logger.info(
                "pace changed to %.1f",
                slowdown,
                extra={"server": self._declared.name},
            )
            self._context.report_changed()
        self._last_slowdown = slowdown
        if has_become_slow:
            self._refuse_waiting(RefusalReason.SERVER_SLOW)


def _rounded(demand: float | None) -> float | None:
    return None if demand is None else round(demand, 2)
