"""Limit how many places of a server are granted at the same time."""

from typing import Final

# Servers queue a few requests beyond their slots. One of these places hides the round
# trip between the end of a request and the next one's start.
QUEUE_PLACES: Final = 1
# After a rejection the server gets one request less for this long: others send to it
# that did not ask here.
_REJECTION_SECONDS: Final = 0.5
# Some 65 responses a second from each server shift the limit by up to six places.
_STEP: Final = 0.1


class PlaceLimit:
    """Grant more places than a server has slots where messages between hosts are slow.

    A granted place is at the server only for a part of the time: on hosts with little
    processor time the grant and the release each take some tens of ms. The servers'
    statements of their load show how many requests get there.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._extra = float(QUEUE_PLACES)
        self._rejected_at: list[float] = []

    @property
    def usual_places(self) -> float:
        """Return how many places are granted while nothing is rejected."""
        return self._slots + self._extra - QUEUE_PLACES

    def places(self, now: float) -> int:
        """Return how many places may be granted at the same time, at least one."""
        since = now - _REJECTION_SECONDS
        self._rejected_at = [at for at in self._rejected_at if at > since]
        return max(1, round(self._slots + self._extra) - len(self._rejected_at))

    def note_load(self, load: int, *, has_waiting: bool) -> None:
        """Record how many requests a server says to have, while requests wait or not.

        The extra places grow while the server has free slots, up to the slots again,
        and shrink while it has more requests than slots.
        """
        change = min(float(self._slots - load), 1.0) * _STEP
        if change < 0.0 or has_waiting:
            extra = self._extra + change
            self._extra = min(max(extra, float(QUEUE_PLACES)), float(self._slots))

    def note_rejected(self, now: float) -> None:
        """Record that the server rejected a request that had a place."""
        self._rejected_at.append(now)
        self._extra = max(self._extra - 1.0, float(QUEUE_PLACES))
