"""Define how much of a server a work class may use."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.work_class import WorkClass


@dataclass(frozen=True, slots=True)
class ClassShare:
    """Hold the share of one work class on one server.

    ``weight`` is the share under contention, ``max_running`` the maximum number of
    running requests, and ``aging_seconds`` the waiting time after which a request goes
    ahead of the weighted order.
    """

    weight: float
    max_running: int
    aging_seconds: float

    @classmethod
    def from_class(cls, declared: WorkClass, concurrency: int) -> "ClassShare":
        """Return the share of a declared class on a server.

        Every class may run at least one request, however small its ``max_share``.
        """
        max_running = max(1, int(concurrency * declared.max_share))
        return cls(declared.weight, max_running, declared.aging_seconds)
