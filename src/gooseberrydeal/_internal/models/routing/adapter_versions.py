"""Hold the versions of an adapter that operators have declared."""

import math
from dataclasses import dataclass
from typing import Final, Self

# Requests do not last longer, so that it no longer matters which of the declarations
# before replaced an older version first.
_RETENTION_SECONDS: Final = 120.0


@dataclass(frozen=True, slots=True)
class DeclaredVersion:
    """Describe a declared version of an adapter.

    It was declared after ``declared_after``, when a read of the store did not show it
    yet, on the monotonic clock in seconds. That is minus infinity for a version that
    this host read at its start.
    """

    version: int
    declared_after: float


class AdapterVersions:
    """Keep the newest version of an adapter, and when each older one was replaced.

    Versions may follow one another quickly. Each has to be in use by its own bound, so
    a version counts as replaced from the first declaration of a newer one.
    """

    def __init__(self, newest: DeclaredVersion) -> None:
        self._declared = [newest]

    @classmethod
    def from_declaration(cls, version: int, declared_after: float) -> Self:
        """Return the versions of an adapter after its first declaration."""
        return cls(DeclaredVersion(version, declared_after))

    @property
    def newest(self) -> int:
        """Return the newest version."""
        return self._declared[-1].version

    @property
    def newest_declared_after(self) -> float:
        """Return after when the newest version was declared."""
        return self._declared[-1].declared_after

    def declare(self, version: int, declared_after: float) -> None:
        """Add a newer version; one that is not newer is ignored."""
        if version <= self.newest:
            return
        oldest = declared_after - _RETENTION_SECONDS
        old = [item for item in self._declared if item.declared_after < oldest]
        kept = [item for item in self._declared if item not in old[:-1]]
        self._declared = [*kept, DeclaredVersion(version, declared_after)]

    def replaced_after(self, version: int) -> float:
        """Return after when a newer version was declared, infinity if none was."""
        newer = (item for item in self._declared if item.version > version)
        times = (item.declared_after for item in newer)
        return min(times, default=math.inf)
