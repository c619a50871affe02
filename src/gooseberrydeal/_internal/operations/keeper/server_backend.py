"""Define what differs between kinds of backend servers."""

from typing import Protocol

from gooseberrydeal._internal.models.messages.copy_report import CopyReport
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.operations.keeper.job import Job


class ServerBackend(Protocol):
    """Run jobs on one backend server."""

    @property
    def accepts(self) -> bool:
        """Return whether the server can be given work."""
        ...

    def is_ready(self, item: WorkItem) -> bool:
        """Return whether the item could start now."""
        ...

    def can_ever_start(self, item: WorkItem) -> bool:
        """Return whether the item can start without another one ending first."""
        ...

    def refusal(self, item: WorkItem) -> Refusal | None:
        """Return why the item can't be taken, if so."""
        ...

    def extra_wait(self, item: WorkItem) -> float:
        """Return the seconds that the item waits beside the queue."""
        ...

    def queued(self, job: Job) -> None:
        """Note that a job waits."""
        ...

    def unqueued(self, job: Job) -> None:
        """Note that a job waits no longer."""
        ...

    async def run(self, job: Job) -> None:
        """Run a job to its end and answer it."""
        ...

    def copies(self) -> tuple[CopyReport, ...]:
        """Return the loaded copies."""
        ...

    def victim_demand(self) -> float | None:
        """Return the demand that the next load would evict."""
        ...

    async def recover(self) -> None:
        """Learn the server's true state."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
