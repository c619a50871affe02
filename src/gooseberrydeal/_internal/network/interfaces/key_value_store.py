"""Define the interface to the platform's key-value service."""

from collections.abc import AsyncIterator, Sequence
from typing import Protocol

from gooseberrydeal._internal.models.conditional_write import ConditionalWrite
from gooseberrydeal._internal.models.ids import LeaseId
from gooseberrydeal._internal.models.record import Record
from gooseberrydeal._internal.models.write_result import WriteResult


class KeyValueStore(Protocol):
    """Read, compare-and-swap and watch keys, and manage leases.

    Reads raise :class:`StoreUnavailableError` if they fail. Writes raise it if they
    were not applied, and :class:`StoreUnansweredError` if they may have been.
    """

    async def get(self, key: str) -> Record | None:
        """Return the record of a key, or ``None`` if the key does not exist."""
        ...

    async def list(self, prefix: str) -> tuple[Record, ...]:
        """Return the records whose keys start with a prefix."""
        ...

    async def commit(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply each write whose condition holds, all in one request."""
        ...

    async def grant_lease(self, seconds: int) -> LeaseId:
        """Create a lease that expires unless it is renewed."""
        ...

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return whether it was still active."""
        ...

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        ...

    def watch(self, prefix: str) -> AsyncIterator[Record]:
        """Yield each changed record; a deleted record has an empty value."""
        ...
