"""Define how a request waits until it may be checked again."""

from typing import Protocol

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.operations.router.server_record import ServerRecord


class RequestTurn(Protocol):
    """Let one request wait for an engine that takes it; times are in seconds."""

    @property
    def ends_at(self) -> float:
        """Return when the request is refused if no engine took it."""
        ...

    async def begin(self, copy: AdapterCopyKey) -> None:
        """Wait until the request, which has just arrived, may be checked."""
        ...

    def retry_after(self, now: float, *, is_loading: bool) -> float | None:
        """Return the ``Retry-After`` if the request is to be refused now."""
        ...

    async def wait(
        self, copy: AdapterCopyKey, seconds: float, *, is_loading: bool
    ) -> None:
        """Wait for a change, for ``seconds`` at most while the copy is loading."""
        ...

    def must_hold_back(self, record: ServerRecord) -> bool:
        """Return whether to leave an engine's place to more urgent requests."""
        ...

    def note_sent(self) -> None:
        """Record that an engine takes the request."""
        ...

    def end(self) -> None:
        """Stop waiting, however the request ended."""
        ...
