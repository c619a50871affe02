"""Divide the places of servers among the hosts."""

from collections.abc import Iterable, Mapping

from gooseberrydeal._internal.models.ids import HostId, ServerId


def divide_places(
    own: HostId, hosts: Iterable[HostId], places: Mapping[ServerId, int]
) -> dict[ServerId, int]:
    """Return how many requests a host may have at each server at the same time.

    Designed for servers that must not be sent more than they have room for, whatever
    each host knows of the others. All hosts that know the same hosts and servers divide
    the places alike; the places of all servers are dealt in turn, so that no host has
    more than one place more than another.
    """
    members = sorted({own, *hosts})
    index = members.index(own)
    count = len(members)
    shares: dict[ServerId, int] = {}
    dealt = 0
    for server in sorted(places):
        first = (index - dealt) % count
        shares[server] = max(0, (places[server] - first + count - 1) // count)
        dealt += places[server]
    return shares


def place_holders(hosts: Iterable[HostId], places: Iterable[int]) -> list[HostId]:
    """Return the hosts that have a place at some server, as they are dealt.

    Designed for more hosts than places, where the others have to pass requests on.
    """
    return sorted(set(hosts))[: sum(places)]
