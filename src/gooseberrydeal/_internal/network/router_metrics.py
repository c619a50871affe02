"""Record the Prometheus metrics of a router."""

from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.models.refusal_reason import RefusalReason

_BUCKET_BOUNDS_SECONDS: Final = [0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 10.0]


class RouterMetrics:
    """Own the metrics registry of one router."""

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
        self._account_refusals = Counter(
            "gooseberry_router_account_refusals_total",
            "Requests refused for their key, by reason and state of the key.",
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
        self._passed_on = Counter(
            "gooseberry_router_passed_on_total",
            "Requests passed on to other hosts, by outcome.",
            registry=self._registry,
        )
        self._crashes = Counter(
            "gooseberry_router_server_crashes_total",
            "Crashes of backend servers that had requests of this host.",
            registry=self._registry,
        )
        self._places = Counter(
            "gooseberry_router_places_total",
            "Requests for places at contended servers, by outcome.",
            registry=self._registry,
        )
        self._waits = Counter(
            "gooseberry_router_waits_total",
            "Requests that waited in a service's queue, by outcome.",
            registry=self._registry,
        )
        self._wait_time = Histogram(
            "gooseberry_router_wait_seconds",
            "Time from a request's arrival to its first send.",
            registry=self._registry,
            buckets=_BUCKET_BOUNDS_SECONDS,
        )
        self._first_byte_time = Histogram(
            "gooseberry_router_first_byte_seconds",
            "Time from a send to the head of its response.",
            registry=self._registry,
            buckets=_BUCKET_BOUNDS_SECONDS,
        )
        self._quota_decisions = Counter(
            "gooseberry_router_quota_decisions_total",
            "Requests of accounts with a quota, by what was decided.",
            registry=self._registry,
        )
        self._quota_used = Gauge(
            "gooseberry_router_quota_used",
            "Used part of an account's bucket of tokens, at its allocator.",
            registry=self._registry,
        )
        self._host_limits = Counter(
            "gooseberry_router_host_limits_total",
            "Connections affected by a limit of the host, by limit.",
            registry=self._registry,
        )
        self._ignored = Counter(
            "gooseberry_router_ignored_total",
            "Invalid statements of other processes that were ignored, by kind.",
            registry=self._registry,
        )
        self._state = Gauge(
            "gooseberry_router_state",
            "What the router believes: version, servers, hosts, engines owned.",
            registry=self._registry,
        )
        self._speed = Gauge(
            "gooseberry_router_service_speed",
            "The usual speed of a service's servers, by figure.",
            registry=self._registry,
        )

    def count_quota_decision(self, decision: str) -> None:
        """Count a request of an account with a quota, by what was decided."""
        self._quota_decisions.inc({"decision": decision})

    def set_quota_used(self, account: str, share: float) -> None:
        """Set which part of an account's bucket of tokens is used up, 0 to 1."""
        self._quota_used.set({"account": account}, share)

    def count_attempt(self, outcome: str) -> None:
        """Count an attempt to send a request to a backend server, by its outcome."""
        self._attempts.inc({"outcome": outcome})

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a request that the router refused or ended itself."""
        self._refusals.inc({"reason": reason.value})

    def count_account_refusal(self, reason: RefusalReason, key_state: str) -> None:
        """Count a request refused for its key, by what is known of the key."""
        self._account_refusals.inc({"reason": reason.value, "key": key_state})

    def count_late(self, cause: str) -> None:
        """Count a request served later than its target latency, by the main cause."""
        self._late.inc({"cause": cause})

    def count_retry(self, *, is_allowed: bool) -> None:
        """Count a retry by whether the retry budget allowed it."""
        self._retries.inc({"allowed": str(is_allowed).lower()})

    def count_passed_on(self, outcome: str) -> None:
        """Count a request that was passed on to another host, by its outcome."""
        self._passed_on.inc({"outcome": outcome})

    def count_crash(self) -> None:
        """Count a crash of a backend server that had requests of this host."""
        self._crashes.inc({})

    def count_place(self, outcome: str) -> None:
        """Count a request for a place at a plain server, by its outcome."""
        self._places.inc({"outcome": outcome})

    def count_wait(self, outcome: str) -> None:
        """Count a request that waited in the queue of a service, by its outcome."""
        self._waits.inc({"outcome": outcome})

    def count_host_limit(self, limit: str) -> None:
        """Count a connection that was held back, refused or closed by a limit."""
        self._host_limits.inc({"limit": limit})

    def count_ignored(self, kind: str) -> None:
        """Count an invalid statement of another process that was ignored."""
        self._ignored.inc({"kind": kind})

    def observe_wait(self, seconds: float) -> None:
        """Record the time from a request's arrival to its first attempt."""
        self._wait_time.add({}, seconds)

    def observe_first_byte(self, seconds: float) -> None:
        """Record the time from an attempt to the head of its response."""
        self._first_byte_time.add({}, seconds)

    def set_state(self, name: str, value: float) -> None:
        """Set one value of the state gauge, by name."""
        self._state.set({"name": name}, value)

    def set_speed(self, service: ServiceName, figure: str, value: float) -> None:
        """Set one figure of the usual speed of a service's servers."""
        self._speed.set({"service": service, "figure": figure}, value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _ = render(self._registry, ["text/plain"])
        return bytes(content)
