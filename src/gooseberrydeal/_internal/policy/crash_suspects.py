"""Track requests that may be crashing the servers they run on."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

_RETENTION_SECONDS: Final = 600.0
_MAX_SUSPECTS: Final = 4096
_REFUSE_AFTER_SERVERS: Final = 2


class SuspectHandling(Enum):
    """List how a request must be handled in view of earlier crashes."""

    NONE = "none"
    RUN_ALONE = "run_alone"
    REFUSE = "refuse"


@dataclass(slots=True)
class _Suspect:
    servers: dict[str, float] = field(default_factory=dict)
    alone_crashes: int = 0
    last_seen: float = 0.0


class CrashSuspects:
    """Detect requests that crash servers, by request fingerprint.

    After a crash, every request that was running on the server becomes suspect and
    must run alone. One that did not cause the crash then completes and is cleared. A
    request is refused once it was running when two servers crashed, and was the only
    request on at least one of them.

    When the table is full, suspects that never crashed a server alone are dropped
    first, so that a flood of new suspects cannot displace a proven one.
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()

    @property
    def count(self) -> int:
        """Return the number of suspect requests."""
        return len(self._suspects)

    def note_crash(
        self, fingerprint: str, server: str, now: float, *, was_alone: bool
    ) -> None:
        """Record that a server crashed while it ran the request."""
        self._expire(now)
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        self._suspects.move_to_end(fingerprint)
        suspect.servers[server] = now
        suspect.alone_crashes += int(was_alone)
        suspect.last_seen = now
        self._enforce_limit()

    def clear(self, fingerprint: str) -> None:
        """Remove a request that completed without a crash."""
        self._suspects.pop(fingerprint, None)

    def handling_of(self, fingerprint: str, now: float) -> SuspectHandling:
        """Return how a request must be handled."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.last_seen > _RETENTION_SECONDS:
            return SuspectHandling.NONE
        if suspect.alone_crashes > 0 and len(suspect.servers) >= _REFUSE_AFTER_SERVERS:
            return SuspectHandling.REFUSE
        return SuspectHandling.RUN_ALONE

    def _expire(self, now: float) -> None:
        for fingerprint, suspect in list(self._suspects.items()):
            if now - suspect.last_seen <= _RETENTION_SECONDS:
                break
            del self._suspects[fingerprint]

    def _enforce_limit(self) -> None:
        if len(self._suspects) <= _MAX_SUSPECTS:
            return
        for fingerprint, suspect in self._suspects.items():
            if suspect.alone_crashes == 0:
                del self._suspects[fingerprint]
                return
        self._suspects.popitem(last=False)
