"""Draw arrivals from a seed."""

import random
from bisect import bisect_left
from collections.abc import Callable, Sequence
from itertools import accumulate

from gooseberrydeal._internal.lab.bench.arrival import Arrival

Rate = Callable[[float], float]


class Popularity:
    """Draw adapters by Zipf's law, under a permutation that can change."""

    def __init__(self, adapters: int, exponent: float, seed: int) -> None:
        weights = (float(rank) ** -exponent for rank in range(1, adapters + 1))
        self._cumulated: list[float] = list(accumulate(weights))
        self._random = random.Random(seed)
        self._order = list(range(adapters))
        self._random.shuffle(self._order)

    def draw(self, source: random.Random) -> int:
        """Return an adapter."""
        point = source.random() * self._cumulated[-1]
        return self._order[bisect_left(self._cumulated, point)]

    def reshuffle(self) -> None:
        """Give every adapter another popularity."""
        self._random.shuffle(self._order)

    def share_outside(self, slots: int) -> float:
        """Return the share of requests outside the most popular adapters."""
        return 1.0 - self._cumulated[slots - 1] / self._cumulated[-1]


def arrival_times(rate: Rate, seconds: float, source: random.Random) -> list[float]:
    """Return Poisson arrivals of a rate that changes with time."""
    peak = max(rate(step * seconds / 1000) for step in range(1000))
    times: list[float] = []
    now = 0.0
    while True:
        now += source.expovariate(peak)
        if now >= seconds:
            return times
        if source.random() * peak <= rate(now):
            times.append(now)


def short_arrivals(
    times: Sequence[float],
    popularity: Popularity,
    source: random.Random,
    tokens: int,
    reshuffle_at: float | None = None,
) -> list[Arrival]:
    """Return short requests, with a reshuffle of popularity between them."""
    arrivals = []
    for at in times:
        if reshuffle_at is not None and at >= reshuffle_at:
            popularity.reshuffle()
            reshuffle_at = None
        arrivals.append(Arrival(at, popularity.draw(source), tokens))
    return arrivals
