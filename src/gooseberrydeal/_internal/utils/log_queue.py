"""Write log lines without waiting for who reads them."""

import contextlib
import logging
import queue
import sys
import threading
from typing import Final, TextIO

# Some seconds of a router's lines on its heaviest days.
MOST_WAITING_LINES: Final = 2000
# At the end of the program a reader that has stopped is given up after twice as long,
# within what a router keeps free of its grace period.
_END_SECONDS: Final = 0.25


class QueueingHandler(logging.Handler):
    """Hand each line to a thread that writes it to a stream.

    When the reader is too slow and the queue is full, lines are left out; the next line
    that is written says how many.
    """

    def __init__(self, stream: TextIO, most_waiting: int = MOST_WAITING_LINES) -> None:
        super().__init__()
        self._stream = stream
        self._waiting: queue.Queue[str | None] = queue.Queue(most_waiting)
        self._left_out = 0
        self._writer = threading.Thread(
            target=self._write_lines, name="log writer", daemon=True
        )
        self._writer.start()

    @property
    def is_idle(self) -> bool:
        """Return whether no line waits to be written."""
        return self._waiting.empty()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line, or count it as left out."""
        try:
            line = self.format(record)
            if self._left_out:
                self._waiting.put_nowait(self.format(_left_out(self._left_out)))
                self._left_out = 0
            self._waiting.put_nowait(line)
        except queue.Full:
            self._left_out += 1

    def close(self) -> None:
        """Write what is queued, unless the reader has stopped.

        ``logging`` calls this at the program's end.
        """
        try:
            self._waiting.put(None, timeout=_END_SECONDS)
        except queue.Full:
            _complain("the last log lines were not written: their reader has stopped")
        else:
            self._writer.join(_END_SECONDS)
        super().close()

    def _write_lines(self) -> None:
        while (line := self._waiting.get()) is not None:
            try:
                self._stream.write(line + "\n")
                if self._waiting.empty():
                    self._stream.flush()
            except (OSError, ValueError) as error:
                _complain(f"no more log lines are written: {error}")
                return


def _complain(text: str) -> None:
    """Say on standard error why the log ends, since it can't say so itself."""
    with contextlib.suppress(OSError, ValueError):
        print(text, file=sys.stderr)


def _left_out(count: int) -> logging.LogRecord:
    return logging.LogRecord(
        __name__,
        logging.WARNING,
        __file__,
        0,
        "%d log lines were left out because their reader was too slow",
        (count,),
        None,
    )
