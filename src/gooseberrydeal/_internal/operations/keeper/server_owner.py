"""Queue, run and report the jobs of one owned backend server."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import PeerLostError
from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.ids import ClassName, FencingNumber
from gooseberrydeal._internal.models.lifecycle import Lifecycle
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
from gooseberrydeal._internal.operations.keeper.job_admission import (
    JobAdmission,
    not_serving_refusal,
)
from gooseberrydeal._internal.operations.keeper.job_rejector import JobRejector
from gooseberrydeal._internal.operations.keeper.job_table import JobTable
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.keeper.pace_watch import LatencyMonitor
from gooseberrydeal._internal.operations.keeper.server_backend import ServerBackend
from gooseberrydeal._internal.operations.keeper.server_reporter import (
    ServerReporter,
    draft_report,
)
from gooseberrydeal._internal.policy.class_share import ClassShare
from gooseberrydeal._internal.policy.pace_tracker import LatencyTracker
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

_TICK_INTERVAL_SECONDS: Final = 0.05


class ServerOwner:
    """Queue and run the jobs of a server; only its owner sends it requests."""

    def __init__(
        self,
        declared: BackendServer,
        epoch: FencingNumber,
        context: KeeperContext,
        latency: LatencyTracker,
        class_of: Callable[[str], WorkClass],
    ) -> None:
        self._declared = declared
        self._epoch = epoch
        self._context = context
        self._latency = latency
        self._class_of = class_of
        self._backend: ServerBackend | None = None
        self._jobs = JobTable(
            self._share_of, self._is_ready, lambda: self._declared.concurrency
        )
        self._lifecycle = Lifecycle()
        self._is_listed_leaving = False
        self._reporter = ServerReporter(declared.name, epoch)
        self._latency_monitor = LatencyMonitor(context, latency, declared)
        self._admission = JobAdmission(context, latency, class_of, self._queue_wait)
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks = TaskOwner()
        self._rejector = JobRejector(context, self._jobs, self._dequeue, self._tasks)

    @property
    def declared(self) -> BackendServer:
        """Return the server's configuration."""
        return self._declared

    @property
    def epoch(self) -> FencingNumber:
        """Return the fencing number of this ownership."""
        return self._epoch

    @property
    def latency(self) -> LatencyTracker:
        """Return the tracker of the server's latency."""
        return self._latency

    @property
    def is_serving(self) -> bool:
        """Return whether new jobs are accepted."""
        backend = self._backend
        return (
            self._lifecycle.is_serving
            and not self.is_leaving
            and backend is not None
            and backend.accepts
        )

    @property
    def is_leaving(self) -> bool:
        """Return whether the configuration or the host list marks it as leaving."""
        return self._declared.state == "leaving" or self._is_listed_leaving

    @property
    def rejector(self) -> JobRejector:
        """Return the rejector of waiting jobs."""
        return self._rejector

    @property
    def running(self) -> list[Job]:
        """Return the running jobs."""
        return self._jobs.running

    @property
    def waiting(self) -> list[Job]:
        """Return the queued jobs."""
        return self._jobs.waiting

    def attach(self, backend: ServerBackend) -> None:
        """Set the backend that runs the jobs; call this before :meth:`start`."""
        self._backend = backend

    async def start(self) -> None:
        """Read the server's state, then accept jobs."""
        self._tasks.start(self._tick(), f"tick {self._declared.name}")
        assert self._backend is not None
        await self._backend.recover()
        self._lifecycle.serve()
        self._context.report_changed()

    def apply_configuration(self, declared: BackendServer) -> None:
        """Apply the server's changed configuration."""
        if declared == self._declared:
            return
        self._declared = declared
        self._handle_leaving_change()

    def set_listed_leaving(self, *, is_leaving: bool) -> None:
        """Set whether the platform's host list marks the server as leaving."""
        if is_leaving == self._is_listed_leaving:
            return
        self._is_listed_leaving = is_leaving
        self._handle_leaving_change()

    def handle_fenced(self) -> None:
        """Drain, since the server has a newer owner and rejects this one."""
        self._lifecycle.drain()
        self._rejector.refuse_waiting(RefusalReason.NOT_OWNER)
        self._context.report_changed()

    async def submit(self, submit: Submit, stream: ServedStream) -> None:
        """Queue or refuse a request; resume an interrupted one without queueing."""
        item = self._admission.create_item(submit)
        if submit.offset > 0 and self._lifecycle.is_serving:
            self._start_job(Job(item, submit, stream))
            return
        backend = self._backend
        refusal = not_serving_refusal(self.is_serving, self.is_leaving)
        if refusal is None and backend is not None:
            refusal = self._admission.refusal(submit, item, backend)
        if refusal is not None or backend is None:
            await self._rejector.refuse(
                stream, refusal or Refusal(RefusalReason.NOT_OWNER, Ran.NO)
            )
            return
        job = Job(item, submit, stream, waited_for_load=not backend.is_ready(item))
        self._jobs.add(job)
        backend.queued(job)
        self.start_jobs()

    def cancel(self, stream: ServedStream) -> None:
        """Cancel the job of a stream."""
        for job in self._jobs.jobs_of_stream(stream):
            self._cancel_job(job)

    def connection_lost(self, stream: ServedStream) -> None:
        """Cancel the job of a lost stream, unless it runs and must not be repeated."""
        for job in self._jobs.jobs_of_stream(stream):
            if job.submit.repeatable or not job.has_started:
                self._cancel_job(job)

    def start_jobs(self) -> None:
        """Start queued jobs while the server has capacity for them."""
        backend = self._backend
        if backend is None or not self._lifecycle.is_serving:
            return
        now = self._context.clock.monotonic()
        while (job := self._jobs.next(now)) is not None:
            backend.dequeued(job)
            self._start_job(job)

    def _start_job(self, job: Job) -> None:
        self._jobs.start(job)
        self._idle.clear()
        job.task = self._tasks.start(self._run_job(job), f"job {job.item.request_id}")

    def report(self) -> ServerReport | None:
        """Return a report if the state has changed or the last report is old."""
        now = self._context.clock.monotonic()
        draft = draft_report(
            self._declared,
            self._context,
            self._jobs,
            self._latency,
            accepts=self.is_serving,
            wait_seconds=self._queue_wait(0),
            demand=self._backend.victim_demand() if self._backend else None,
        )
        return self._reporter.report(draft, now)

    def slots_report(self) -> SlotsReport | None:
        """Return a report of the adapter copies if they have changed."""
        return self._reporter.slots(self._backend.copies() if self._backend else ())

    async def drain(self) -> None:
        """Refuse waiting jobs and wait until the running ones have ended."""
        self._lifecycle.drain()
        self._rejector.refuse_waiting(RefusalReason.SHUTTING_DOWN)
        self._context.report_changed()
        await self._idle.wait()

    async def stop(self) -> None:
        """Refuse waiting jobs and cancel the running ones."""
        self._lifecycle.stop()
        self._rejector.refuse_waiting(RefusalReason.NOT_OWNER)
        await self._tasks.stop()
        if self._backend is not None:
            await self._backend.close()

    def requeue(self, job: Job) -> None:
        """Put a job back into the queue that the server is known not to have run."""
        job.has_started = False
        job.waited_for_load = True
        self._jobs.requeue(job)
        if self._backend is not None:
            self._backend.queued(job)

    def _handle_leaving_change(self) -> None:
        if self.is_leaving:
            self._rejector.refuse_waiting(RefusalReason.SERVER_LEAVING)
        self._context.report_changed()

    def _share_of(self, name: ClassName) -> ClassShare:
        if self._context.is_plain:
            return ClassShare(1.0, self._declared.concurrency, 0.0)
        return ClassShare.from_class(self._class_of(name), self._declared.concurrency)

    def _queue_wait(self, importance: int) -> float:
        ahead = self._jobs.slot_seconds_ahead(importance)
        now = self._context.clock.monotonic()
        return ahead / self._declared.concurrency * self._latency.slowdown(now)

    def _is_ready(self, item: WorkItem) -> bool:
        return self._backend is not None and self._backend.is_ready(item)

    async def _run_job(self, job: Job) -> None:
        assert self._backend is not None
        now = self._context.clock.monotonic()
        self._context.metrics.observe_queue_wait(
            job.submit.service, now - job.item.arrived
        )
        try:
            await self._backend.run(job)
        except PeerLostError:
            logger.info("entry disconnected", extra={"request_id": job.item.request_id})
        finally:
            self._finish_job(job)

    def _finish_job(self, job: Job) -> None:
        self._latency.ended(job.item.request_id, self._context.clock.monotonic())
        self._jobs.ended(job)
        if not self._jobs.running:
            self._idle.set()
        self.start_jobs()

    def _cancel_job(self, job: Job) -> None:
        if not self._dequeue(job) and job.task is not None:
            job.task.cancel()

    def _dequeue(self, job: Job) -> bool:
        is_dropped = self._jobs.drop(job)
        if is_dropped and self._backend is not None:
            self._backend.dequeued(job)
        return is_dropped

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_INTERVAL_SECONDS)
            now = self._context.clock.monotonic()
            self._latency_monitor.update_baseline(now)
            if not self._context.is_plain and self._latency_monitor.became_slow(now):
                self._rejector.refuse_waiting(RefusalReason.SERVER_SLOW)
            self._rejector.refuse_overdue(now, self._can_ever_start)
            self.start_jobs()

    def _can_ever_start(self, item: WorkItem) -> bool:
        is_plain = self._context.is_plain
        return is_plain or self._backend is None or self._backend.can_obtain_slot(item)
