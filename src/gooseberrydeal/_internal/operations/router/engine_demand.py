"""Add up what all hosts report of one engine."""

from collections.abc import Iterable

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.usage_report import CopyWant, EngineUsage


class EngineDemand:
    """Keep the newest report of each host."""

    def __init__(self) -> None:
        self._usages: dict[HostId, tuple[float, EngineUsage]] = {}
        self._started: dict[tuple[HostId, AdapterCopyKey], int] = {}

    def take(
        self, host: HostId, usage: EngineUsage, now: float
    ) -> list[tuple[AdapterCopyKey, int]]:
        """Take a report; return how many requests were started on each copy since."""
        self._usages[host] = (now, usage)
        fresh = []
        for use in usage.uses:
            before = self._started.get((host, use.key), 0)
            started = use.started - before if use.started >= before else use.started
            self._started[host, use.key] = use.started
            if started:
                fresh.append((use.key, started))
        return fresh

    def drop_silent(self, now: float, silent_seconds: float) -> None:
        """Forget hosts that have stopped."""
        silent = [h for h, (at, _) in self._usages.items() if now - at > silent_seconds]
        for host in silent:
            del self._usages[host]
            for key in [key for key in self._started if key[0] == host]:
                del self._started[key]

    def in_use(self) -> dict[AdapterCopyKey, int]:
        """Return the requests in flight on each copy."""
        total: dict[AdapterCopyKey, int] = {}
        for usage in self._all():
            for use in usage.uses:
                if use.in_flight:
                    total[use.key] = total.get(use.key, 0) + use.in_flight
        return total

    def wants(self, now: float) -> dict[AdapterCopyKey, CopyWant]:
        """Return the wanted copies, those of several hosts added up."""
        total: dict[AdapterCopyKey, CopyWant] = {}
        for at, usage in self._usages.values():
            for want in usage.wants:
                slack = want.slack - (now - at)
                known = total.get(want.key, CopyWant(want.key, 0, slack))
                total[want.key] = CopyWant(
                    want.key,
                    known.waiting + want.waiting,
                    max(known.slack, slack),
                    known.is_missing or want.is_missing,
                )
        return total

    def requests(self) -> int:
        """Return the requests in flight of all hosts."""
        return sum(usage.requests for usage in self._all())

    def tokens(self) -> int:
        """Return the tokens of the requests in flight."""
        return sum(usage.tokens for usage in self._all())

    def pace(self, now: float) -> float:
        """Return the server's newest word on how long work takes."""
        ages = [(now - at + u.pace_age, u.pace) for at, u in self._usages.values()]
        return min(ages, default=(0.0, 1.0))[1]

    def unread_tokens(self) -> int:
        """Return the tokens of prompts whose response has not begun."""
        return sum(usage.unread_tokens for usage in self._all())

    def _all(self) -> Iterable[EngineUsage]:
        return (usage for _, usage in self._usages.values())
