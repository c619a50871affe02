"""Decide which keeper should own which backend server."""

from collections import Counter
from collections.abc import Iterable, Sequence

from gooseberrydeal._internal.utils import rendezvous


def assign(servers: Iterable[str], keepers: Sequence[str]) -> dict[str, str]:
    """Spread servers evenly, each to its highest-ranked keeper with room.

    The loss of a keeper moves its servers and few others, since all ranks stay.
    """
    listed = sorted(servers)
    if not keepers:
        return {}
    room = -(-len(listed) // len(keepers))
    owned: Counter[str] = Counter()
    result = {}
    for server in listed:
        for keeper in rendezvous.ranked(server, keepers):
            if owned[keeper] < room:
                owned[keeper] += 1
                result[server] = keeper
                break
    return result
