"""Count a prompt as pending prefill until the server's response starts."""

from collections.abc import Callable

from gooseberrydeal._internal.operations.router.server_record import ServerRecord


class PendingPrefill:
    """Remove a prompt from its server's load estimate exactly once.

    A prompt counts as awaiting prefill until its response starts.
    """

    def __init__(
        self,
        record: ServerRecord,
        tokens: int,
        on_change: Callable[[ServerRecord], None],
    ) -> None:
        self._record = record
        self._tokens = tokens
        self._on_change = on_change
        on_change(record)

    def end(self) -> None:
        """Remove the prompt from the estimate, unless that was already done."""
        if self._tokens:
            self._record.load.remove_pending_prefill(self._tokens)
            self._tokens = 0
            self._on_change(self._record)
