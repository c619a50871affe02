"""Decide whether a host asks for places at the servers of a service."""

from typing import Final

# Requests are sent without a place until the servers report to be this full. With
# fewer requests, servers of 6 slots reject less than 1 in 100.
START_UTILISATION: Final = 0.7
# Place keepers call a server contended until it has been less full than this for
# ``HOLD_SECONDS``. The gap to the start keeps hosts from switching back and forth.
END_UTILISATION: Final = 0.4
# Bursts of requests last 3 to 6 s.
HOLD_SECONDS: Final = 5.0
# Weight of the newest response in the mean of what servers report.
_NEWEST_WEIGHT: Final = 0.2


class Contention:
    """Switch between sending at once and asking for places, with hysteresis."""

    def __init__(self) -> None:
        self._utilisation = 0.0
        self._ends_at = 0.0

    def is_on(self, now: float) -> bool:
        """Return whether places are asked for."""
        return now < self._ends_at

    def note_rejected(self, now: float) -> None:
        """Record that a server rejected a request for lack of room."""
        self._ends_at = now + HOLD_SECONDS

    def note_utilisation(self, utilisation: float, now: float) -> None:
        """Record how full a server reports to be, 1.0 being all slots."""
        self._utilisation += (utilisation - self._utilisation) * _NEWEST_WEIGHT
        if self._utilisation >= START_UTILISATION:
            self._ends_at = now + HOLD_SECONDS

    def note_keeper(self, now: float) -> None:
        """Record that a place keeper calls its server contended."""
        self._ends_at = now + HOLD_SECONDS
