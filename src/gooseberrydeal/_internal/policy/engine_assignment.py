"""Decide which host should own an engine."""

from collections.abc import Iterable

from gooseberrydeal._internal.models.ids import DomainName, HostId, ServerId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.utils.rendezvous import first


def preferred_owner(
    server: ServerId, domain: DomainName, hosts: Iterable[HostMembership]
) -> HostId | None:
    """Return the host that takes an engine without an owner.

    Hosts of the engine's own failure domain come first: a cut between domains then
    separates no engine from its owner. All hosts that see the same members agree.
    """
    members = list(hosts)
    local = [item for item in members if item.domain == domain]
    names = [str(item.host) for item in local or members]
    chosen = first(str(server), names)
    return None if chosen is None else HostId(chosen)
