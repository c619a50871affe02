"""Record the Prometheus metrics of the entry and keeper programs."""

from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.retry_reason import RetryReason

_BUCKET_BOUNDS_SECONDS: Final = [
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    1.7,
    2.5,
    5.0,
    10.0,
]


class Metrics:
    """Own the metrics registry of one process."""

    def __init__(self, role: str) -> None:
        self._registry = Registry()
        labels = {"role": role}
        self._refusals = Counter(
            "gooseberry_refusals_total",
            "Requests refused, by reason.",
            const_labels=labels,
            registry=self._registry,
        )
        self._retries = Counter(
            "gooseberry_retries_total",
            "Further attempts, by reason.",
            const_labels=labels,
            registry=self._registry,
        )
        self._responses = Counter(
            "gooseberry_answers_total",
            "Whole answers, by service.",
            const_labels=labels,
            registry=self._registry,
        )
        self._loads = Counter(
            "gooseberry_loads_total",
            "Adapter loads, by outcome.",
            const_labels=labels,
            registry=self._registry,
        )
        self._alarms = Gauge(
            "gooseberry_alarms",
            "Alarms that are raised now, by name.",
            const_labels=labels,
            registry=self._registry,
        )
        self._revision = Gauge(
            "gooseberry_revision",
            "Configuration revision in force.",
            const_labels=labels,
            registry=self._registry,
        )
        self._first_token = self._histogram(
            "gooseberry_first_token_seconds", "Time to the first token.", labels
        )
        self._queue_wait = self._histogram(
            "gooseberry_queue_wait_seconds", "Time in the owner's queue.", labels
        )
        self._load_time = self._histogram(
            "gooseberry_load_seconds", "Time of an adapter load.", labels
        )

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a refused request."""
        self._refusals.inc({"reason": reason.value})

    def count_retry(self, reason: RetryReason) -> None:
        """Count a further attempt at a request, such as a retry or a hedged request."""
        self._retries.inc({"reason": reason.value})

    def count_response(self, service: str) -> None:
        """Count a complete response."""
        self._responses.inc({"service": service})

    def observe_load(self, outcome: str, seconds: float) -> None:
        """Count an adapter load by its outcome, and record its duration."""
        self._loads.inc({"outcome": outcome})
        self._load_time.add({}, seconds)

    def observe_first_token(self, service: str, seconds: float) -> None:
        """Record the time to the first token of a response."""
        self._first_token.add({"service": service}, seconds)

    def observe_queue_wait(self, service: str, seconds: float) -> None:
        """Record the time that a request spent in its owner's queue."""
        self._queue_wait.add({"service": service}, seconds)

    def set_alarm(self, name: str, *, is_raised: bool) -> None:
        """Set whether an alarm is raised."""
        self._alarms.set({"alarm": name}, int(is_raised))

    def set_revision(self, number: int) -> None:
        """Set the configuration revision that is in force."""
        self._revision.set({}, number)

    def refusal_count(self, reason: RefusalReason) -> int:
        """Return the number of refusals for a reason."""
        return int(self._refusals.values.get({"reason": reason.value}) or 0)

    def describe(self) -> list[tuple[str, str, str]]:
        """Return the name, type and help text of each metric."""
        return [
            (metric.name, type(metric).__name__.lower(), metric.doc)
            for metric in self._registry.get_all()
        ]

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _ = render(self._registry, ["text/plain"])
        return bytes(content)

    def _histogram(
        self, name: str, help_text: str, labels: dict[str, str]
    ) -> Histogram:
        return Histogram(
            name,
            help_text,
            const_labels=labels,
            registry=self._registry,
            buckets=_BUCKET_BOUNDS_SECONDS,
        )
