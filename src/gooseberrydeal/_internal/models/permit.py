"""Define the permit to start an adapter load."""

from dataclasses import dataclass


@dataclass(slots=True)
class Permit:
    """Permit one adapter load at a time.

    The permit may be used from the time ``ready_at``. A borrowed permit may be used
    only once, before ``expires_at``. Both are monotonic times in seconds.
    """

    ready_at: float
    in_use: bool = False
    expires_at: float | None = None
