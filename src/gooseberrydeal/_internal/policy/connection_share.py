"""Divide a server's connections among the hosts."""

from collections import deque
from typing import Final

# The rest is for probes, and for what a server accepts less while its queue is long.
_USED_FRACTION: Final = 0.85
# A host that lost power or its network closes nothing: its connections count at the
# server until that gives them up. Hosts that left are counted for this long.
_LEFT_HOSTS_SECONDS: Final = 60.0
_MIN_CONNECTIONS: Final = 2


class ConnectionShare:
    """Count the hosts, those included that left lately, and return a host's share."""

    def __init__(self) -> None:
        self._counts: deque[tuple[float, int]] = deque()

    def note_hosts(self, count: int, now: float) -> None:
        """Record the number of hosts that are listed as of now."""
        self._counts.append((now, max(1, count)))

    def hosts(self, now: float) -> int:
        """Return the most hosts that were listed at a time within the last minute."""
        while len(self._counts) > 1 and self._counts[1][0] <= now - _LEFT_HOSTS_SECONDS:
            self._counts.popleft()
        return max((count for _, count in self._counts), default=1)

    def limit(self, max_connections: int, now: float) -> int:
        """Return how many connections to a server this host may have."""
        share = int(max_connections * _USED_FRACTION / self.hosts(now))
        return max(_MIN_CONNECTIONS, share)
