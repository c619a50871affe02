"""Choose a server for a request to a service without models."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId

# A server in another failure domain costs a round trip and traffic between domains,
# which is weighted like this fraction of a queued request.
_OTHER_DOMAIN_COST: Final = 0.15
# Cost at a failure rate of 1: a failed response loses the whole value of the request.
_FAILURE_COST: Final = 6.0
# Ranks servers to be avoided last, whatever their load.
_LAST_RESORT_COST: Final = 1000.0


@dataclass(frozen=True, slots=True)
class PlainCandidate:
    """Describe a server as this host sees it.

    ``requests`` counts requests running and waiting. ``slowdown`` is the ratio of the
    server's processing time to the usual one (1.0 is normal, higher is slower).
    ``is_avoided`` makes the server a last resort.
    """

    server: ServerId
    requests: float
    slots: int
    slowdown: float
    is_local: bool
    failure_rate: float = 0.0
    is_avoided: bool = False


def choose_plain_server(
    candidates: Sequence[PlainCandidate], rng: random.Random
) -> PlainCandidate | None:
    """Return the candidate with the lowest expected cost, ``None`` if there is none.

    Designed for small services: a few servers with few slots, which slow down
    temporarily. Ties are broken at random, so that hosts with the same reports do not
    all choose the same server.
    """
    if not candidates:
        return None
    return min(candidates, key=lambda item: (_cost(item), rng.random()))


def _cost(item: PlainCandidate) -> float:
    utilization = (item.requests + 1.0) / max(1, item.slots)
    cost = max(1.0, utilization) * item.slowdown + 0.3 * utilization
    cost += 0.0 if item.is_local else _OTHER_DOMAIN_COST
    cost += item.failure_rate * _FAILURE_COST
    return cost + (_LAST_RESORT_COST if item.is_avoided else 0.0)
