"""Choose the host that a request is passed on to."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.ids import HostId

# A host of another failure domain is chosen if it has this many requests less, since
# traffic between domains is charged for.
_OTHER_DOMAIN_REQUESTS: Final = 4
# A host that could not serve a while ago is tried again if the others are this busy.
_DOUBTFUL_REQUESTS: Final = 16
# How many hosts are compared of each domain, own and other. A few suffice to spread the
# load, and do not lead all hosts to the same one.
_COMPARED: Final = 2


@dataclass(frozen=True, slots=True)
class PeerCandidate:
    """Describe a host that may reach servers.

    ``requests`` is how many it serves, as far as this host knows. ``is_doubtful`` means
    that it could not serve a request a while ago.
    """

    host: HostId
    is_local: bool
    requests: int
    is_doubtful: bool = False


def choose_peer(
    candidates: Sequence[PeerCandidate], rng: random.Random
) -> PeerCandidate | None:
    """Return the host to pass a request on to, ``None`` if there is none.

    Designed for the work of some hosts, or of most of a failure domain, that comes upon
    the others at once: it spreads by the work that each of them has.
    """
    compared: list[PeerCandidate] = []
    for is_local in (True, False):
        group = [item for item in candidates if item.is_local is is_local]
        sound = [item for item in group if not item.is_doubtful]
        compared += rng.sample(sound or group, min(_COMPARED, len(sound or group)))
    return min(compared, key=lambda item: (_cost(item), rng.random()), default=None)


def _cost(item: PeerCandidate) -> int:
    cost = item.requests
    cost += 0 if item.is_local else _OTHER_DOMAIN_REQUESTS
    return cost + (_DOUBTFUL_REQUESTS if item.is_doubtful else 0)
