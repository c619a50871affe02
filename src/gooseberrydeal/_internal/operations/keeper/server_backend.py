"""Define the interface to the different kinds of backend servers."""

from typing import Protocol

from gooseberrydeal._internal.models.messages.copy_report import CopyReport
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.operations.keeper.job import Job


class ServerBackend(Protocol):
    """Run jobs on one backend server."""

    @property
    def accepts(self) -> bool:
        """Return whether the server accepts requests."""
        ...

    def is_ready(self, item: WorkItem) -> bool:
        """Return whether the item could start now."""
        ...

    def can_obtain_slot(self, item: WorkItem) -> bool:
        """Return whether the item has or can get any adapter slot that it needs."""
        ...

    def refusal(self, item: WorkItem) -> Refusal | None:
        """Return why the item cannot be queued, or ``None`` if it can."""
        ...

    def expected_load_wait(self, item: WorkItem) -> float:
        """Return the expected wait in seconds for an adapter load."""
        ...

    def queued(self, job: Job) -> None:
        """Handle that a job was added to the queue."""
        ...

    def dequeued(self, job: Job) -> None:
        """Handle that a job was removed from the queue."""
        ...

    async def run(self, job: Job) -> None:
        """Run a job to completion and send its response."""
        ...

    def copies(self) -> tuple[CopyReport, ...]:
        """Return the reports of the server's adapter copies."""
        ...

    def victim_demand(self) -> float | None:
        """Return the demand of the adapter that the next load would evict."""
        ...

    async def recover(self) -> None:
        """Synchronize with the server's actual state and start polling it."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
