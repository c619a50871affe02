"""Remember requests that were running when servers crashed."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

_KEPT_SECONDS: Final = 600.0
_KEPT: Final = 4096
_REFUSE_AFTER: Final = 2


class Suspicion(Enum):
    """Say how a request is to be treated."""

    NONE = "none"
    RUN_ALONE = "run_alone"
    REFUSE = "refuse"


@dataclass(slots=True)
class _Suspect:
    servers: dict[str, float] = field(default_factory=dict)
    alone_crashes: int = 0
    last_seen: float = 0.0


class CrashSuspects:
    """Refuse a request after it crashed two servers, at least once alone.

    After a first crash every request that ran there is suspect and runs alone; an
    innocent one then completes and is cleared. A suspect that crashed alone is
    dropped only after those that did not, so that a flood can't push it out.
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()

    @property
    def count(self) -> int:
        """Return how many requests are suspect."""
        return len(self._suspects)

    def note_crash(
        self, fingerprint: str, server: str, now: float, *, was_alone: bool
    ) -> None:
        """Note that a server crashed while the request ran on it."""
        self._expire(now)
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        self._suspects.move_to_end(fingerprint)
        suspect.servers[server] = now
        suspect.alone_crashes += int(was_alone)
        suspect.last_seen = now
        self._make_room()

    def clear(self, fingerprint: str) -> None:
        """Note that the request ran to its end."""
        self._suspects.pop(fingerprint, None)

    def judge(self, fingerprint: str, now: float) -> Suspicion:
        """Return how to treat a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.last_seen > _KEPT_SECONDS:
            return Suspicion.NONE
        if suspect.alone_crashes > 0 and len(suspect.servers) >= _REFUSE_AFTER:
            return Suspicion.REFUSE
        return Suspicion.RUN_ALONE

    def _expire(self, now: float) -> None:
        for fingerprint, suspect in list(self._suspects.items()):
            if now - suspect.last_seen <= _KEPT_SECONDS:
                break
            del self._suspects[fingerprint]

    def _make_room(self) -> None:
        if len(self._suspects) <= _KEPT:
            return
        for fingerprint, suspect in self._suspects.items():
            if suspect.alone_crashes == 0:
                del self._suspects[fingerprint]
                return
        self._suspects.popitem(last=False)
