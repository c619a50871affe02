"""Describe how a class of work may use a server."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.work_class import WorkClass


@dataclass(frozen=True, slots=True)
class ClassShare:
    """Hold a class's weight, its bound on running slots and its time to age."""

    weight: float
    max_running: int
    aging_seconds: float

    @classmethod
    def from_class(cls, declared: WorkClass, concurrency: int) -> "ClassShare":
        """Bound a class to its share of a server, at least one slot."""
        bound = max(1, int(concurrency * declared.max_share))
        return cls(declared.weight, bound, declared.aging_seconds)
