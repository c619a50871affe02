"""Assign backend servers to keepers."""

from collections import Counter
from collections.abc import Iterable, Sequence

from gooseberrydeal._internal.utils import rendezvous


def assign(servers: Iterable[str], keepers: Sequence[str]) -> dict[str, str]:
    """Return the keeper for each server, with servers spread evenly over keepers.

    Each server goes to its highest-ranked keeper (rendezvous hashing) that is below the
    limit per keeper. Ranks do not depend on the other keepers, so the loss of a keeper
    moves its own servers and only a few others.
    """
    ordered = sorted(servers)
    if not keepers:
        return {}
    max_per_keeper = -(-len(ordered) // len(keepers))
    owned: Counter[str] = Counter()
    result = {}
    for server in ordered:
        for keeper in rendezvous.ranked(server, keepers):
            if owned[keeper] < max_per_keeper:
                owned[keeper] += 1
                result[server] = keeper
                break
    return result
