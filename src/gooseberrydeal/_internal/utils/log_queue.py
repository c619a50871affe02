"""Write log lines in a thread, so that a slow log reader never blocks the caller."""

import contextlib
import logging
import queue
import sys
import threading
from typing import Final, TextIO

# A few seconds of a router's log lines at peak load.
MAX_QUEUED_LINES: Final = 2000
# Applies twice in ``close``: to queueing the end marker and to joining the thread. Both
# waits together must fit into the part of the grace period that a router reserves for
# the exit of its process.
_CLOSE_STEP_TIMEOUT_SECONDS: Final = 0.25


class QueueingHandler(logging.Handler):
    """Queue each line for a thread that writes it to a stream.

    While the queue is full because the reader is too slow, lines are dropped. The next
    line that is queued is preceded by a warning with the number of dropped lines.
    """

    def __init__(
        self, stream: TextIO, max_queued_lines: int = MAX_QUEUED_LINES
    ) -> None:
        super().__init__()
        self._stream = stream
        self._queue: queue.Queue[str | None] = queue.Queue(max_queued_lines)
        self._drop_count = 0
        self._writer = threading.Thread(
            target=self._write_lines, name="log writer", daemon=True
        )
        self._writer.start()

    @property
    def is_idle(self) -> bool:
        """Return whether the queue is empty."""
        return self._queue.empty()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped if the queue is full."""
        try:
            line = self.format(record)
            if self._drop_count:
                self._queue.put_nowait(self.format(_drop_notice(self._drop_count)))
                self._drop_count = 0
            self._queue.put_nowait(line)
        except queue.Full:
            self._drop_count += 1

    def close(self) -> None:
        """Write the queued lines; give up after a time limit if the reader has stopped.

        ``logging`` calls this when the process exits.
        """
        try:
            self._queue.put(None, timeout=_CLOSE_STEP_TIMEOUT_SECONDS)
        except queue.Full:
            _report_on_stderr(
                "the last log lines were not written: the log reader has stopped"
            )
        else:
            self._writer.join(_CLOSE_STEP_TIMEOUT_SECONDS)
        super().close()

    def _write_lines(self) -> None:
        while (line := self._queue.get()) is not None:
            try:
                self._stream.write(line + "\n")
                if self._queue.empty():
                    self._stream.flush()
            except (OSError, ValueError) as error:
                _report_on_stderr(f"no more log lines are written: {error}")
                return


def _report_on_stderr(text: str) -> None:
    """Report on standard error why logging ends, since the log cannot record it."""
    with contextlib.suppress(OSError, ValueError):
        print(text, file=sys.stderr)


def _drop_notice(count: int) -> logging.LogRecord:
    return logging.LogRecord(
        __name__,
        logging.WARNING,
        __file__,
        0,
        "%d log lines were left out because their reader was too slow",
        (count,),
        None,
    )
