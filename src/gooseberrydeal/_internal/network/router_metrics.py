"""Count what a router does."""

from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from gooseberrydeal._internal.models.refusal_reason import RefusalReason

_SECONDS: Final = [0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 10.0]


class RouterMetrics:
    """Own the registry of one router."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._attempts = Counter(
            "gooseberry_router_attempts_total",
            "Sends to backend servers, by outcome.",
            registry=self._registry,
        )
        self._refusals = Counter(
            "gooseberry_router_refusals_total",
            "Requests ended by the router itself, by reason.",
            registry=self._registry,
        )
        self._late = Counter(
            "gooseberry_router_late_total",
            "Requests served later than their route's target, by the main cause.",
            registry=self._registry,
        )
        self._retries = Counter(
            "gooseberry_router_retries_total",
            "Further sends, by whether the budget allowed them.",
            registry=self._registry,
        )
        self._wait = Histogram(
            "gooseberry_router_wait_seconds",
            "Time from a request's arrival to its first send.",
            registry=self._registry,
            buckets=_SECONDS,
        )
        self._first_byte = Histogram(
            "gooseberry_router_first_byte_seconds",
            "Time from a send to the head of its response.",
            registry=self._registry,
            buckets=_SECONDS,
        )
        self._state = Gauge(
            "gooseberry_router_state",
            "What the router believes: version, servers, hosts, engines owned.",
            registry=self._registry,
        )

    def attempt_ended(self, outcome: str) -> None:
        """Count a send."""
        self._attempts.inc({"outcome": outcome})

    def refused(self, reason: RefusalReason) -> None:
        """Count a request that the router ended itself."""
        self._refusals.inc({"reason": reason.value})

    def late(self, cause: str) -> None:
        """Count a request that was served late."""
        self._late.inc({"cause": cause})

    def retry_decided(self, *, is_allowed: bool) -> None:
        """Count a retry that the budget allowed or denied."""
        self._retries.inc({"allowed": str(is_allowed).lower()})

    def waited(self, seconds: float) -> None:
        """Add the time before a first send."""
        self._wait.add({}, seconds)

    def first_byte(self, seconds: float) -> None:
        """Add the time to a response."""
        self._first_byte.add({}, seconds)

    def set_state(self, name: str, value: float) -> None:
        """Tell one of the beliefs."""
        self._state.set({"name": name}, value)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        content, _ = render(self._registry, ["text/plain"])
        return bytes(content)
