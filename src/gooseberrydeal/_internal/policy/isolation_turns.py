"""Decide which request that may crash servers runs next, on a server of its own."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId, ServiceName
from gooseberrydeal._internal.models.routing.isolation_notice import (
    IsolationNotice,
    IsolationState,
)
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature

# A run whose host sends no further notice is taken to have ended after this time.
_MAX_RUN_SECONDS: Final = 5.0
# A server that crashed registers again within this time, which shows the crash.
_VERDICT_SECONDS: Final = 10.0
# An isolated run that crashed its server shows that more of them may follow.
_CRASH_MEMORY_SECONDS: Final = 10.0
# The entry of a server that crashed is gone, or that of its next start is read, within
# this time.
_CRASHED_ENTRY_SECONDS: Final = 4.0
# One server in this many, at least one, may be down or at risk at a time.
_SERVERS_PER_RUN: Final = 3
_USUAL_COUNT_SECONDS: Final = 30.0


class Turn(Enum):
    """List whether an isolated run may begin.

    ``BUSY`` means that other isolated runs must end first, which takes about as long as
    a request, ``HELD`` that servers must start again first.
    """

    FREE = "free"
    BUSY = "busy"
    HELD = "held"


@dataclass(slots=True)
class _Run:
    service: ServiceName
    server: ServerId
    features: tuple[RequestFeature, ...]
    expires_at: float


@dataclass(slots=True)
class _UsualCount:
    servers: int
    seen_at: float


class IsolationTurns:
    """Keep track of the isolated runs of all hosts.

    Designed for services of a few servers that several requests crash at the same time,
    over and over. If such requests share a server, none of its crashes shows which one
    caused it, and if they run on all servers, none is left for others. So they share no
    server, and most servers are kept for sound requests.
    """

    def __init__(self) -> None:
        self._runs: dict[int, _Run] = {}
        self._held: dict[RequestFeature, float] = {}
        self._crashed_at: dict[ServiceName, float] = {}
        self._crashed_servers: dict[ServerId, float] = {}
        self._usual_counts: dict[ServiceName, _UsualCount] = {}

    def note_servers(self, service: ServiceName, servers: int, now: float) -> None:
        """Record how many servers of a service are available."""
        usual = self._usual_counts.get(service)
        if (
            usual is None
            or servers >= usual.servers
            or now - usual.seen_at > _USUAL_COUNT_SECONDS
        ):
            self._usual_counts[service] = _UsualCount(servers, now)

    def note(self, notice: IsolationNotice, now: float) -> None:
        """Record a notice of this host or of another one."""
        if notice.state is IsolationState.CLAIMED:
            self._runs[notice.number] = _Run(
                notice.service, notice.server, notice.features, now + _MAX_RUN_SECONDS
            )
            return
        self._runs.pop(notice.number, None)
        if notice.state is IsolationState.CRASHED:
            self._crashed_at[notice.service] = now
            self.note_crash(notice.server, now)
        if notice.state is IsolationState.UNDECIDED:
            self._held.update(
                dict.fromkeys(notice.features, now + _VERDICT_SECONDS),
            )

    def note_crash(self, server: ServerId, now: float) -> None:
        """Record that a server crashed, before its entry shows it."""
        self._crashed_servers[server] = now

    def has_crashed(self, server: ServerId, now: float) -> bool:
        """Return whether a server crashed a moment ago, although it has an entry."""
        crashed_at = self._crashed_servers.get(server, float("-inf"))
        return now - crashed_at < _CRASHED_ENTRY_SECONDS

    def busy_servers(self, service: ServiceName, now: float) -> frozenset[ServerId]:
        """Return the servers of a service on which isolated runs are in progress."""
        if not self._runs:
            return frozenset()
        self._expire(now)
        return frozenset(
            run.server for run in self._runs.values() if run.service == service
        )

    def turn(
        self,
        service: ServiceName,
        features: tuple[RequestFeature, ...],
        available: int,
        now: float,
        *,
        is_first_suspicion: bool,
    ) -> Turn:
        """Return whether a request may begin an isolated run.

        ``available`` is the number of servers that are available. With
        ``is_first_suspicion``, the request was at one crash only, as all requests are
        that a crash for another reason interrupts: then it does not wait for servers to
        start again, unless isolated runs have crashed servers just now.
        """
        self._expire(now)
        if any(feature in self._held for feature in features):
            return Turn.HELD
        runs = [run for run in self._runs.values() if run.service == service]
        if any(not set(run.features).isdisjoint(features) for run in runs):
            return Turn.BUSY
        self.note_servers(service, available, now)
        allowed = self._allowed_runs(
            service, available, now, is_first_suspicion=is_first_suspicion
        )
        if allowed <= 0:
            return Turn.HELD
        return Turn.BUSY if len(runs) >= allowed else Turn.FREE

    def goes_first(
        self,
        number: int,
        service: ServiceName,
        available: int,
        now: float,
        *,
        is_first_suspicion: bool,
    ) -> bool:
        """Return whether a claimed run is one of those that may be in progress.

        The arguments are those of :meth:`turn`.
        """
        allowed = self._allowed_runs(
            service, available, now, is_first_suspicion=is_first_suspicion
        )
        numbers = (n for n, run in self._runs.items() if run.service == service)
        return number in sorted(numbers)[: max(0, allowed)]

    def _allowed_runs(
        self,
        service: ServiceName,
        available: int,
        now: float,
        *,
        is_first_suspicion: bool,
    ) -> int:
        """Return how many runs may be in progress besides the servers that are down."""
        limit = self._limit_of(service)
        usual = self._usual_counts.get(service)
        down = usual.servers - available if usual else 0
        is_calm = now - self._crashed_at.get(service, float("-inf")) > (
            _CRASH_MEMORY_SECONDS
        )
        if is_first_suspicion and is_calm and available:
            down = 0
        return limit - down

    def _expire(self, now: float) -> None:
        for number, run in list(self._runs.items()):
            if now >= run.expires_at:
                del self._runs[number]
        for feature, until in list(self._held.items()):
            if now >= until:
                del self._held[feature]

    def _limit_of(self, service: ServiceName) -> int:
        """Return how many servers of a service may be down or at risk."""
        usual = self._usual_counts.get(service)
        return max(1, (usual.servers if usual else 0) // _SERVERS_PER_RUN)
