"""Count a prompt as unread until its response begins."""

from collections.abc import Callable

from gooseberrydeal._internal.operations.router.server_record import ServerRecord


class UnreadPrompt:
    """Take a prompt off its server's estimate once, whatever ends the wait."""

    def __init__(
        self,
        record: ServerRecord,
        tokens: int,
        on_use: Callable[[ServerRecord], None],
    ) -> None:
        self._record = record
        self._tokens = tokens
        self._on_use = on_use
        on_use(record)

    def end(self) -> None:
        """Note that the response began or the request was given up."""
        if self._tokens:
            self._record.load.remove_unread(self._tokens)
            self._tokens = 0
            self._on_use(self._record)
