"""Choose the host that should own an engine."""

from collections.abc import Iterable

from gooseberrydeal._internal.models.ids import DomainName, HostId, ServerId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.utils.rendezvous import first


def preferred_owner(
    server: ServerId, domain: DomainName, hosts: Iterable[HostMembership]
) -> HostId | None:
    """Return the host that should claim an unowned engine, or ``None`` without hosts.

    Hosts in the engine's own failure domain are preferred, so that a network partition
    between domains does not separate engines from their owners. All hosts with the
    same view of the membership choose the same owner.
    """
    members = list(hosts)
    local = [item for item in members if item.domain == domain]
    names = [str(item.host) for item in local or members]
    chosen = first(str(server), names)
    return None if chosen is None else HostId(chosen)
