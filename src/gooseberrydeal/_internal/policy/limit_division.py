"""Divide a server's limit on requests among the hosts."""

from collections.abc import Iterable, Mapping
from typing import Final

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.utils.rendezvous import ranked

# Each host that may send to a server can do so at any time, also all of them at once,
# so there are at most this many more of them than the limit allows each second.
_EXTRA_MEMBERS: Final = 4
# A host with little or no demand keeps a share for its next request: that of this
# fraction of the average demand, or of some requests per second.
_MIN_DEMAND_FRACTION: Final = 0.1
_MIN_DEMAND_PER_SECOND: Final = 0.001
# A server that takes no requests at all gets this many per second, since it can lift
# the limit only in a response.
_MIN_REQUESTS_PER_SECOND: Final = 0.05
# Hosts see changes of the demand and of the hosts at different times.
_USED_FRACTION: Final = 0.9
# Unused permits of this many seconds are kept.
_KEPT_SECONDS: Final = 0.8


def limit_members(
    server: ServerId, requests_per_second: float, hosts: Iterable[HostId]
) -> list[HostId]:
    """Return the hosts that may send requests to a server.

    All hosts that know the same hosts choose the same members.
    """
    return [
        HostId(host)
        for host in ranked(server, hosts)[: int(requests_per_second) + _EXTRA_MEMBERS]
    ]


def own_rate(
    requests_per_second: float,
    own: HostId,
    members: Iterable[HostId],
    demands: Mapping[HostId, float],
) -> tuple[float, float]:
    """Return this host's requests per second, and how many unused ones it may keep.

    An equal share is left to each member whose demand is not known, as it is new or cut
    off. The others, of which this host is one, share the rest by their demand.
    """
    members = list(members)
    if own not in members:
        return 0.0, 0.0
    known = {member: demands[member] for member in members if member in demands}
    average = sum(known.values()) / len(known)
    least = max(average * _MIN_DEMAND_FRACTION, _MIN_DEMAND_PER_SECOND)
    total = sum(max(demand, least) for demand in known.values())
    share = max(known[own], least) / total * len(known) / len(members)
    used = max(requests_per_second, _MIN_REQUESTS_PER_SECOND) * share
    return used * _USED_FRACTION, 1.0 + used * _KEPT_SECONDS
