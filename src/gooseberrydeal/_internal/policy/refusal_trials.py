"""Decide which request tests whether a refused feature still crashes servers."""

from collections.abc import Iterable
from typing import Final

from gooseberrydeal._internal.models.ids import HostId, RequestId
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature
from gooseberrydeal._internal.utils.rendezvous import first

# Longer than most answers take to clear a feature or to crash the server, on top of the
# differences between the hosts' estimates of when the refusal ended.
_TURN_SECONDS: Final = 15.0


class RefusalTrials:
    """Admit single requests with a feature whose refusal has ended.

    The hosts take turns, and each admits one request in its turn, until one of these
    clears the feature or crashes another server. Hosts that know the same hosts agree
    on the turns without a message.
    """

    def __init__(self, host: HostId) -> None:
        self._host = host
        self._admitted: dict[RequestFeature, tuple[int, RequestId]] = {}

    def admits(
        self,
        feature: RequestFeature,
        request: RequestId,
        seconds_since_end: float,
        hosts: Iterable[HostId],
    ) -> bool:
        """Return whether a request may be sent; repeated calls agree."""
        turn = int(seconds_since_end / _TURN_SECONDS)
        known = self._admitted.get(feature)
        if known is not None and (known[1] == request or known[0] == turn):
            return known[1] == request
        if first(f"{feature}\0{turn}", hosts) != self._host:
            return False
        self._admitted[feature] = (turn, request)
        return True

    def retain(self, features: Iterable[RequestFeature]) -> None:
        """Forget the trials of all other features."""
        kept = set(features)
        for feature in [key for key in self._admitted if key not in kept]:
            del self._admitted[feature]
