"""Back off from adapters that fail to load."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.adapter_ref import AdapterRef

_INITIAL_BACKOFF_SECONDS: Final = 1.0
# Minimum for an adapter that the weight store does not have.
_MISSING_BACKOFF_SECONDS: Final = 30.0
_MAX_BACKOFF_SECONDS: Final = 60.0
_MAX_ADAPTERS: Final = 4096


@dataclass(slots=True)
class _Failure:
    backoff: float
    retry_at: float


class LoadFailures:
    """Track load failures per adapter, with exponential backoff.

    The backoff keeps a failing adapter from using up the permitted load rate.
    """

    def __init__(self) -> None:
        self._failures: OrderedDict[AdapterRef, _Failure] = OrderedDict()

    def note_failure(
        self, adapter: AdapterRef, now: float, jitter: float, *, is_missing: bool
    ) -> float:
        """Record a failed load and return the backoff in seconds.

        ``jitter`` is between 0 and 1; it spreads the next attempts over 75 % to 125 %
        of the nominal backoff.
        """
        known = self._failures.pop(adapter, None)
        backoff = _INITIAL_BACKOFF_SECONDS if known is None else known.backoff * 2
        if is_missing:
            backoff = max(backoff, _MISSING_BACKOFF_SECONDS)
        backoff = min(backoff, _MAX_BACKOFF_SECONDS)
        delay = backoff * (0.75 + jitter / 2)
        self._failures[adapter] = _Failure(backoff, now + delay)
        if len(self._failures) > _MAX_ADAPTERS:
            self._failures.popitem(last=False)
        return delay

    def note_success(self, adapter: AdapterRef) -> None:
        """Reset the backoff of an adapter."""
        self._failures.pop(adapter, None)

    def remaining_backoff(self, adapter: AdapterRef, now: float) -> float:
        """Return the seconds until a load may be retried, 0 if it may be now."""
        known = self._failures.get(adapter)
        return 0.0 if known is None else max(0.0, known.retry_at - now)
