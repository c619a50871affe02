"""Generate arrivals from seeded random generators."""

import random
from bisect import bisect_left
from collections.abc import Callable, Sequence
from itertools import accumulate

from gooseberrydeal._internal.lab.bench.arrival import Arrival

RateFunction = Callable[[float], float]


class Popularity:
    """Draw adapters by Zipf's law; which adapter has which rank can be reshuffled."""

    def __init__(self, adapters: int, exponent: float, seed: int) -> None:
        weights = (float(rank) ** -exponent for rank in range(1, adapters + 1))
        self._cumulative_weights: list[float] = list(accumulate(weights))
        self._random = random.Random(seed)
        self._order = list(range(adapters))
        self._random.shuffle(self._order)

    def draw(self, rng: random.Random) -> int:
        """Return the number of a randomly drawn adapter."""
        point = rng.random() * self._cumulative_weights[-1]
        return self._order[bisect_left(self._cumulative_weights, point)]

    def reshuffle(self) -> None:
        """Assign the popularity ranks to the adapters anew."""
        self._random.shuffle(self._order)

    def share_outside(self, slots: int) -> float:
        """Return the share of requests outside the ``slots`` most popular adapters."""
        return 1.0 - self._cumulative_weights[slots - 1] / self._cumulative_weights[-1]


def arrival_times(
    rate: RateFunction, seconds: float, rng: random.Random
) -> list[float]:
    """Return arrival times of a Poisson process whose rate changes with time.

    Candidates are drawn at the peak rate and thinned to the rate at their time.
    """
    peak = max(rate(step * seconds / 1000) for step in range(1000))
    times: list[float] = []
    now = 0.0
    while True:
        now += rng.expovariate(peak)
        if now >= seconds:
            return times
        if rng.random() * peak <= rate(now):
            times.append(now)


def short_arrivals(
    times: Sequence[float],
    popularity: Popularity,
    rng: random.Random,
    tokens: int,
    reshuffle_at: float | None = None,
) -> list[Arrival]:
    """Return short requests; popularity is reshuffled at ``reshuffle_at``, if set."""
    arrivals = []
    for at in times:
        if reshuffle_at is not None and at >= reshuffle_at:
            popularity.reshuffle()
            reshuffle_at = None
        arrivals.append(Arrival(at, popularity.draw(rng), tokens))
    return arrivals
