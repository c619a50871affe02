"""Back off from adapters that do not load."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.adapter_ref import AdapterRef

_FIRST_SECONDS: Final = 1.0
_MISSING_SECONDS: Final = 30.0
_MOST_SECONDS: Final = 60.0
_KEPT: Final = 4096


@dataclass(slots=True)
class _Failure:
    seconds: float
    until: float


class LoadFailures:
    """Double the pause after each failed load, so that none eats the rate."""

    def __init__(self) -> None:
        self._failures: OrderedDict[AdapterRef, _Failure] = OrderedDict()

    def note_failure(
        self, adapter: AdapterRef, now: float, jitter: float, *, is_missing: bool
    ) -> float:
        """Note a failed load; return the pause in seconds.

        ``jitter`` is between 0 and 1 and spreads the next attempts.
        """
        known = self._failures.pop(adapter, None)
        seconds = _FIRST_SECONDS if known is None else known.seconds * 2
        if is_missing:
            seconds = max(seconds, _MISSING_SECONDS)
        seconds = min(seconds, _MOST_SECONDS)
        pause = seconds * (0.75 + jitter / 2)
        self._failures[adapter] = _Failure(seconds, now + pause)
        if len(self._failures) > _KEPT:
            self._failures.popitem(last=False)
        return pause

    def note_success(self, adapter: AdapterRef) -> None:
        """Forget the failures of an adapter."""
        self._failures.pop(adapter, None)

    def pause_left(self, adapter: AdapterRef, now: float) -> float:
        """Return the seconds until a load may be tried again."""
        known = self._failures.get(adapter)
        return 0.0 if known is None else max(0.0, known.until - now)
