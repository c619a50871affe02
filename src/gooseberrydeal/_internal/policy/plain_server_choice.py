"""Choose a server of a plain service."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId

# A server in another failure domain costs a round trip and bytes between domains: as
# much as this part of a queued request.
_OTHER_DOMAIN_COST: Final = 0.15
# A failed answer costs the request's whole worth.
_FAILURE_COST: Final = 6.0
# Faulty and unreachable servers come last whatever their load.
_LAST_RESORT_COST: Final = 1000.0


@dataclass(frozen=True, slots=True)
class PlainCandidate:
    """Describe a server; ``requests`` counts those running and waiting."""

    server: ServerId
    requests: float
    slots: int
    pace: float
    is_local: bool
    failure_rate: float = 0.0
    is_avoided: bool = False


def choose_plain_server(
    candidates: Sequence[PlainCandidate], rng: random.Random
) -> PlainCandidate | None:
    """Return the candidate with the least expected cost.

    Answers to the load of small services: a few servers with few slots, whose work
    slows down for moments. Of equal servers one is drawn, so that hosts with the same
    reports don't all choose the same.
    """
    if not candidates:
        return None
    return min(candidates, key=lambda item: (_cost(item), rng.random()))


def _cost(item: PlainCandidate) -> float:
    busy = (item.requests + 1.0) / max(1, item.slots)
    cost = max(1.0, busy) * item.pace + 0.3 * busy
    cost += 0.0 if item.is_local else _OTHER_DOMAIN_COST
    cost += item.failure_rate * _FAILURE_COST
    return cost + (_LAST_RESORT_COST if item.is_avoided else 0.0)
