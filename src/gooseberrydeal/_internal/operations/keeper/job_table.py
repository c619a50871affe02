"""Track the waiting and running jobs of one server."""

from collections.abc import Callable

from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.network.served_stream import ServedStream
from gooseberrydeal._internal.operations.keeper.job import Job
from gooseberrydeal._internal.policy.work_queue import ShareOf, WorkQueue

IsReady = Callable[[WorkItem], bool]


class JobTable:
    """Select the jobs to start, up to the server's concurrency.

    A suspect runs alone: it starts only when no other job is running. While a ready
    suspect waits, no other job starts, so that it cannot be starved. ``is_ready``
    returns whether an item could start now.
    """

    def __init__(
        self, share_of: ShareOf, is_ready: IsReady, concurrency: Callable[[], int]
    ) -> None:
        self._queue = WorkQueue(share_of)
        self._is_ready = is_ready
        self._concurrency = concurrency
        self._waiting: dict[RequestId, Job] = {}
        self._running: dict[RequestId, Job] = {}
        self._exclusive_job: Job | None = None

    @property
    def waiting(self) -> list[Job]:
        """Return the jobs that have not been started."""
        return list(self._waiting.values())

    @property
    def running(self) -> list[Job]:
        """Return the jobs that have been started and have not ended."""
        return list(self._running.values())

    @property
    def queued(self) -> int:
        """Return the number of waiting jobs."""
        return self._queue.count

    def jobs_of_stream(self, stream: ServedStream) -> list[Job]:
        """Return the waiting and running jobs of a stream."""
        jobs = [*self._waiting.values(), *self._running.values()]
        return [job for job in jobs if job.stream is stream]

    def add(self, job: Job) -> None:
        """Add a waiting job."""
        self._waiting[job.item.request_id] = job
        self._queue.push(job.item)

    def drop(self, job: Job) -> bool:
        """Remove a job; return whether it was waiting."""
        if self._waiting.get(job.item.request_id) is not job:
            return False
        del self._waiting[job.item.request_id]
        self._queue.remove(job.item)
        return True

    def next(self, now: float) -> Job | None:
        """Remove and return the job to start next, ``None`` if none can start."""
        if self._exclusive_job is not None or len(self._running) >= self._concurrency():
            return None
        item = self._queue.pop(now, self._is_eligible)
        if item is None:
            return None
        job = self._waiting.pop(item.request_id)
        if item.is_suspect:
            self._exclusive_job = job
            job.is_alone = True
        return job

    def start(self, job: Job) -> None:
        """Record that a job is running."""
        self._running[job.item.request_id] = job

    def requeue(self, job: Job) -> None:
        """Return a started job to the queue."""
        self.ended(job)
        self.add(job)

    def ended(self, job: Job) -> None:
        """Record that a job is no longer running."""
        if self._running.get(job.item.request_id) is job:
            del self._running[job.item.request_id]
            if job.submit.offset == 0:
                self._queue.finished(job.item)
        if self._exclusive_job is job:
            self._exclusive_job = None

    def slot_seconds_ahead(self, importance: int) -> float:
        """Return the slot-seconds of work ahead of a new job of this importance.

        If the server runs as many jobs as it may, half of their slot-seconds are added
        as an estimate of the remaining work.
        """
        total = self._queue.waiting_slot_seconds(importance)
        if len(self._running) >= self._concurrency():
            total += sum(job.item.slot_seconds for job in self._running.values()) / 2
        return total

    def _is_eligible(self, item: WorkItem) -> bool:
        if not self._is_ready(item):
            return False
        if item.is_suspect:
            return not self._running
        return not any(
            job.item.is_suspect and self._is_ready(job.item)
            for job in self._waiting.values()
        )
