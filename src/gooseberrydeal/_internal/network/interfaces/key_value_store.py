"""Define what is needed of the platform's key-value service."""

from collections.abc import AsyncIterator, Sequence
from typing import Protocol

from gooseberrydeal._internal.models.conditional_write import ConditionalWrite
from gooseberrydeal._internal.models.ids import LeaseId
from gooseberrydeal._internal.models.record import Record
from gooseberrydeal._internal.models.write_result import WriteResult


class KeyValueStore(Protocol):
    """Read, compare-and-swap, lease and watch.

    Reads raise :class:`StoreUnavailableError`. Writes raise it when they did not
    reach the service, and :class:`StoreUnansweredError` when that is not known.
    """

    async def get(self, key: str) -> Record | None:
        """Return the record of a key."""
        ...

    async def list(self, prefix: str) -> tuple[Record, ...]:
        """Return the records whose keys start with a prefix."""
        ...

    async def commit(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply each write that meets its condition, all in one call."""
        ...

    async def grant_lease(self, seconds: int) -> LeaseId:
        """Create a lease that expires unless it is renewed."""
        ...

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return whether it still stood."""
        ...

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        ...

    def watch(self, prefix: str) -> AsyncIterator[Record]:
        """Yield each changed record; a deleted one has an empty value."""
        ...
