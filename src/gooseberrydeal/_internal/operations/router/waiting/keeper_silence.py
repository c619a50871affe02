"""Remember which place keepers do not answer."""

from typing import Final

from gooseberrydeal._internal.models.ids import HostId

# One datagram may be lost; two unanswered requests in a row are a silent keeper.
_MAX_UNANSWERED: Final = 2
# A silent keeper is asked again after this time. Until then requests lose no time.
_PAUSE_SECONDS: Final = 1.0


class KeeperSilence:
    """Count unanswered requests by keeper."""

    def __init__(self) -> None:
        self._unanswered: dict[HostId, tuple[int, float]] = {}

    def is_silent(self, keeper: HostId, now: float) -> bool:
        """Return whether it is useless to ask a keeper now."""
        count, last_at = self._unanswered.get(keeper, (0, 0.0))
        return count >= _MAX_UNANSWERED and now - last_at < _PAUSE_SECONDS

    def note_answer(self, keeper: HostId) -> None:
        """Record that a keeper has answered."""
        self._unanswered.pop(keeper, None)

    def note_unanswered(self, keeper: HostId, now: float) -> bool:
        """Record an unanswered request; return whether the keeper counts as silent.

        Only the first time it does is reported.
        """
        count = self._unanswered.get(keeper, (0, 0.0))[0] + 1
        self._unanswered[keeper] = (count, now)
        return count == _MAX_UNANSWERED
