"""Let only one test at a time start a crowd of clients."""

import fcntl
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

_LOCK = Path(tempfile.gettempdir()) / "gooseberrydeal-client-crowds.lock"


@contextmanager
def exclusive() -> Iterator[None]:
    """Hold the lock of all test processes on the machine."""
    with _LOCK.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield
