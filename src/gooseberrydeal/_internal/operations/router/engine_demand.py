"""Aggregate the usage of one engine that all hosts report."""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from typing import Final

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.slowdown import NORMAL_SLOWDOWN
from gooseberrydeal._internal.models.routing.usage_report import (
    CopyLoadRequest,
    EngineUsage,
)
from gooseberrydeal._internal.policy.stated_slowdown import StatedSlowdown

# Counts of hosts that have not reported for the longest time are dropped beyond this.
_MAX_START_COUNTS: Final = 8_192


class EngineDemand:
    """Keep the newest usage report of each host and return totals over all hosts."""

    def __init__(self) -> None:
        self._usages: dict[HostId, tuple[float, EngineUsage]] = {}
        self._started: OrderedDict[tuple[HostId, AdapterCopyKey], int] = OrderedDict()
        self._pending_prefill_tokens = 0
        self._slowdown = StatedSlowdown()

    @property
    def hosts(self) -> Collection[HostId]:
        """Return the hosts that have reported recently."""
        return self._usages.keys()

    def apply(
        self, host: HostId, usage: EngineUsage, now: float
    ) -> list[tuple[AdapterCopyKey, int]]:
        """Apply a report; return how many requests were started on each copy since."""
        self._forget_prefill(host)
        self._usages[host] = (now, usage)
        self._pending_prefill_tokens += usage.pending_prefill_tokens
        if now - usage.slowdown_age >= self._slowdown.stated_at:
            self._slowdown.state(usage.slowdown, now - usage.slowdown_age)
        new_starts = []
        for use in usage.copy_uses:
            previous = self._started.get((host, use.key), 0)
            started = use.started - previous if use.started >= previous else use.started
            self._started[host, use.key] = use.started
            self._started.move_to_end((host, use.key))
            if started:
                new_starts.append((use.key, started))
        return new_starts

    def drop_stale_hosts(self, now: float, timeout_seconds: float) -> None:
        """Drop hosts that have not reported for longer than ``timeout_seconds``."""
        expired = [
            h for h, (at, _) in self._usages.items() if now - at > timeout_seconds
        ]
        for host in expired:
            self._forget_prefill(host)
            del self._usages[host]
        # A host that reports again goes on counting where it stopped.
        while len(self._started) > _MAX_START_COUNTS:
            self._started.popitem(last=False)

    def in_use(self) -> dict[AdapterCopyKey, int]:
        """Return the number of requests in flight on each copy that is in use."""
        total: dict[AdapterCopyKey, int] = {}
        for usage in self._latest():
            for use in usage.copy_uses:
                if use.in_flight:
                    total[use.key] = total.get(use.key, 0) + use.in_flight
        return total

    def load_requests(self, now: float) -> dict[AdapterCopyKey, CopyLoadRequest]:
        """Return the copies that waiting requests need, merged over all hosts."""
        total: dict[AdapterCopyKey, CopyLoadRequest] = {}
        for at, usage in self._usages.values():
            for load_request in usage.load_requests:
                slack = load_request.slack - (now - at)
                existing = total.get(
                    load_request.key, CopyLoadRequest(load_request.key, 0, slack)
                )
                total[load_request.key] = CopyLoadRequest(
                    load_request.key,
                    existing.waiting + load_request.waiting,
                    max(existing.slack, slack),
                    existing.is_missing or load_request.is_missing,
                )
        return total

    def requests(self) -> int:
        """Return the number of requests in flight from all hosts."""
        return sum(usage.requests for usage in self._latest())

    def tokens(self) -> int:
        """Return the total number of tokens of the requests in flight."""
        return sum(usage.tokens for usage in self._latest())

    def slowdown(self, now: float) -> float:
        """Return the newest reported slowdown (1.0 is normal, more is slower)."""
        return self._slowdown.current(now) if self._usages else NORMAL_SLOWDOWN

    def pending_prefill_tokens(self) -> int:
        """Return the prompt tokens of requests whose response has not started."""
        return self._pending_prefill_tokens

    def _forget_prefill(self, host: HostId) -> None:
        known = self._usages.get(host)
        if known is not None:
            self._pending_prefill_tokens -= known[1].pending_prefill_tokens

    def _latest(self) -> Iterable[EngineUsage]:
        return (usage for _, usage in self._usages.values())
