"""Choose the host that allocates the places of a server."""

from collections.abc import Iterable

from gooseberrydeal._internal.models.ids import DomainName, HostId, ServerId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.utils.rendezvous import first


def choose_place_keeper(
    server: ServerId, domain: DomainName, hosts: Iterable[HostMembership]
) -> HostId | None:
    """Return the place keeper of a server, ``None`` if there are no hosts.

    It is of the server's failure domain if that has hosts, so that whoever reaches the
    server is likely to reach its keeper. All hosts that know the same hosts choose the
    same one.
    """
    hosts = list(hosts)
    local = [host.host for host in hosts if host.domain == domain]
    found = first(f"places/{server}", local or [host.host for host in hosts])
    return None if found is None else HostId(found)
