"""Count the requests of this host that wait for adapters to be loaded on an engine."""

from collections.abc import Callable, Mapping

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.usage_report import CopyLoadRequest


class LoadWaits:
    """Hold for each copy how many requests wait, and the latest of their targets."""

    def __init__(self) -> None:
        self._counts: dict[AdapterCopyKey, int] = {}
        self._target_deadlines: dict[AdapterCopyKey, float] = {}

    @property
    def counts(self) -> Mapping[AdapterCopyKey, int]:
        """Return the number of waiting requests for each copy that they need."""
        return self._counts

    def add(self, key: AdapterCopyKey, target_deadline: float) -> bool:
        """Register a request that waits for a copy; return whether it is the first.

        The request misses its target latency at ``target_deadline``.
        """
        count = self._counts.get(key, 0)
        latest = max(self._target_deadlines.get(key, 0.0), target_deadline)
        self._target_deadlines[key] = latest
        self._counts[key] = count + 1
        return count == 0

    def remove(self, key: AdapterCopyKey) -> None:
        """Remove one request that no longer waits for a copy."""
        count = self._counts.get(key, 0) - 1
        if count > 0:
            self._counts[key] = count
        else:
            self._counts.pop(key, None)
            self._target_deadlines.pop(key, None)

    def requests(
        self, is_missing: Callable[[AdapterCopyKey], bool], now: float
    ) -> tuple[CopyLoadRequest, ...]:
        """Return what to tell the engine's owner.

        ``is_missing`` returns whether the engine denied having a copy.
        """
        return tuple(
            CopyLoadRequest(
                key,
                count,
                self._target_deadlines.get(key, now) - now,
                is_missing(key),
            )
            for key, count in self._counts.items()
        )
