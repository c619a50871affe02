"""Define the injected source of time."""

import time
from typing import Protocol


class Clock(Protocol):
    """Tell monotonic and wall-clock time in seconds."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...


class SystemClock:
    """Read the operating system's clocks."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    def elapsed(self) -> float:
        """Return seconds that never go back and count a suspended machine's time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
