"""Record one run of a scenario under one policy."""

from collections import Counter
from dataclasses import dataclass, field

from gooseberrydeal._internal.lab.bench.sample import Sample


@dataclass
class RunRecord:
    """Hold the samples of a run and the counts that the simulated servers logged.

    ``runs`` counts engine runs by request ID, ``fetch_times`` are seconds from the
    start of the run, and ``started_at`` is a monotonic time. ``waited`` holds the IDs
    of requests that waited for an adapter load. ``most_in_flight`` is the largest
    number of weight fetches at once, and ``processor_seconds`` the CPU time of the
    process.
    """

    policy: str
    samples: list[Sample] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    evicted_in_use: int = 0
    fetch_times: list[float] = field(default_factory=list)
    refused_fetches: int = 0
    most_in_flight: int = 0
    tokens: int = 0
    engine_runs: int = 0
    started_at: float = 0.0
    processor_seconds: float = 0.0
    waited: set[str] = field(default_factory=set)
    series: list[dict[str, float]] = field(default_factory=list)
