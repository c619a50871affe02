"""Estimate how long a plain server takes for a request."""

import statistics
from typing import Final

from gooseberrydeal._internal.policy.speeds.recent_median import RecentMedian

_WINDOW_RESPONSES: Final = 61
# Smaller differences are those of the way to the server and of the load of the moment.
# Idle servers would be chosen by them alone, and most get no requests.
_MIN_SECONDS: Final = 0.02
_MIN_FRACTION: Final = 0.4
# A server that seems this many times faster or slower than its service is taken for no
# more: a few odd requests must neither attract nor divert all others.
_MAX_RATIO: Final = 4.0


# With fewer servers of which so many responses are known, the responses of all servers
# are taken together.
_MIN_KNOWN_SERVERS: Final = 3
_MIN_RESPONSES: Final = 5


class UsualServiceTime:
    """Hold the median service time of the servers of a plain service, in seconds."""

    def __init__(self) -> None:
        self._times = RecentMedian(_WINDOW_RESPONSES, min_spacing=0.0)
        self._known: dict[ServiceTime, float] = {}

    @property
    def seconds(self) -> float | None:
        """Return the median, ``None`` before the first response."""
        if len(self._known) >= _MIN_KNOWN_SERVERS:
            return statistics.median(self._known.values())
        return self._times.median

    @property
    def responses(self) -> int:
        """Return the number of responses from which it was learned."""
        return self._times.count

    def add(self, seconds: float, now: float) -> None:
        """Add the service time of one response."""
        self._times.add(seconds, now)

    def note(self, server: "ServiceTime", seconds: float) -> None:
        """Record the median of one server."""
        self._known[server] = seconds

    def forget(self, server: "ServiceTime") -> None:
        """Forget a server that has left or has started again."""
        self._known.pop(server, None)


class ServiceTime:
    """Compare the service time of one plain server with the usual one."""

    def __init__(self, usual: UsualServiceTime) -> None:
        self._usual = usual
        self._times = RecentMedian()

    def observe(
        self, seconds: float, requests: float, slots: int, slowdown: float, now: float
    ) -> None:
        """Add a response that came after ``seconds``.

        ``requests`` were at the server, this one included, which runs ``slots`` at a
        time; the ``slowdown`` that it stated is divided out.
        """
        queue = max(1.0, requests / max(1, slots))
        service_time = seconds / queue / slowdown
        if service_time > 0.0:
            self._times.add(service_time, now)
            self._usual.add(service_time, now)
            median = self._times.median
            if median is not None and self._times.count >= _MIN_RESPONSES:
                self._usual.note(self, median)

    def relative(self, now: float) -> float:
        """Return the service time relative to the usual one, 1.0 while unknown."""
        usual = self._usual.seconds
        if usual is None:
            return 1.0
        own = self._times.blend(usual, now)
        if abs(own - usual) < max(_MIN_SECONDS, usual * _MIN_FRACTION):
            return 1.0
        ratio = own / usual
        return min(_MAX_RATIO, max(1.0 / _MAX_RATIO, ratio))

    def clear(self) -> None:
        """Forget what was observed before the server started again."""
        self._times.clear()
        self._usual.forget(self)
