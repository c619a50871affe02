"""Define the clock interface that components receive, and its system clock."""

import time
from typing import Protocol


class Clock(Protocol):
    """Provide monotonic and wall-clock time in seconds."""

    def monotonic(self) -> float:
        """Return monotonic seconds; only differences are meaningful."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...


class SystemClock:
    """Read the operating system's clocks."""

    def monotonic(self) -> float:
        """Return monotonic seconds; only differences are meaningful."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    def seconds_since_boot(self) -> float:
        """Return monotonic seconds, including the time while the host was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
