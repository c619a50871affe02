"""Keep the waiting and running jobs of one server."""

from collections.abc import Callable

from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.network.served_stream import ServedStream
from gooseberrydeal._internal.operations.keeper.job import Job
from gooseberrydeal._internal.policy.work_queue import ShareOf, WorkQueue

IsReady = Callable[[WorkItem], bool]


class JobTable:
    """Choose the next job, and let a suspect run alone."""

    def __init__(
        self, share_of: ShareOf, is_ready: IsReady, concurrency: Callable[[], int]
    ) -> None:
        self._queue = WorkQueue(share_of)
        self._is_ready = is_ready
        self._concurrency = concurrency
        self._waiting: dict[RequestId, Job] = {}
        self._running: dict[RequestId, Job] = {}
        self._alone: Job | None = None

    @property
    def waiting(self) -> list[Job]:
        """Return the jobs that were not started."""
        return list(self._waiting.values())

    @property
    def running(self) -> list[Job]:
        """Return the jobs that were started."""
        return list(self._running.values())

    @property
    def queued(self) -> int:
        """Return how many jobs wait."""
        return self._queue.count

    def of_stream(self, stream: ServedStream) -> list[Job]:
        """Return the jobs that answer a stream."""
        both = [*self._waiting.values(), *self._running.values()]
        return [job for job in both if job.stream is stream]

    def add(self, job: Job) -> None:
        """Let a job wait."""
        self._waiting[job.item.request_id] = job
        self._queue.push(job.item)

    def drop(self, job: Job) -> bool:
        """Take a waiting job out; return whether it was there."""
        if self._waiting.get(job.item.request_id) is not job:
            return False
        del self._waiting[job.item.request_id]
        self._queue.remove(job.item)
        return True

    def next(self, now: float) -> Job | None:
        """Take out the job to start next, if one can start."""
        if self._alone is not None or len(self._running) >= self._concurrency():
            return None
        item = self._queue.pop(now, self._is_eligible)
        if item is None:
            return None
        job = self._waiting.pop(item.request_id)
        if item.is_suspect:
            self._alone = job
            job.is_alone = True
        return job

    def start(self, job: Job) -> None:
        """Note that a job runs."""
        self._running[job.item.request_id] = job

    def requeue(self, job: Job) -> None:
        """Let a started job wait again."""
        self.ended(job)
        self.add(job)

    def ended(self, job: Job) -> None:
        """Note that a job no longer runs."""
        if self._running.get(job.item.request_id) is job:
            del self._running[job.item.request_id]
            if job.submit.offset == 0:
                self._queue.finished(job.item)
        if self._alone is job:
            self._alone = None

    def slot_seconds_before(self, importance: int) -> float:
        """Return the work that stands before a new job of that importance."""
        ahead = self._queue.waiting_slot_seconds(importance)
        if len(self._running) >= self._concurrency():
            ahead += sum(job.item.slot_seconds for job in self._running.values()) / 2
        return ahead

    def _is_eligible(self, item: WorkItem) -> bool:
        if not self._is_ready(item):
            return False
        if item.is_suspect:
            return not self._running
        return not any(
            job.item.is_suspect and self._is_ready(job.item)
            for job in self._waiting.values()
        )
