"""Decide when an engine's owner gives it up to another host, and to which."""

from collections.abc import Collection, Iterable
from typing import Final

from gooseberrydeal._internal.models.ids import DomainName, HostId, ServerId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.utils.rendezvous import ranked

# Leases are renewed every 1.5 s. An owner that missed two renewals is probably cut off
# from the store for longer than a lost answer or a restart of the store takes.
_OFFER_AFTER_SECONDS: Final = 3.0
# Engines are offered to more hosts than one, since some may be cut off as well.
_SUCCESSORS: Final = 3
# Longer than the interval of renewals, and shorter than the time after which a host
# counts as cut off.
_IN_TOUCH_SECONDS: Final = 2.5
# Part of the delay before the first order for the duration of calls.
_MARGIN_SECONDS: Final = 0.5


def should_offer(seconds_since_renewal: float) -> bool:
    """Return whether an owner offers its engines to hosts that reach the store.

    Designed for outages in which the store turns some hosts away and serves others. In
    one that affects all hosts nobody accepts, so owners go on while their leases last.
    """
    return seconds_since_renewal >= _OFFER_AFTER_SECONDS


def may_claim_again(seconds_since_renewal: float, *, has_lease: bool) -> bool:
    """Return whether a host that released an engine reaches the store again."""
    return has_lease and seconds_since_renewal <= _IN_TOUCH_SECONDS


def successors(
    server: ServerId,
    domain: DomainName,
    hosts: Iterable[HostMembership],
    excluded: Collection[HostId],
) -> list[HostId]:
    """Return the hosts to offer an engine to, in order of preference.

    Hosts in the engine's own failure domain are preferred, as for a first owner.
    """
    members = [item for item in hosts if item.host not in excluded]
    local = [str(item.host) for item in members if item.domain == domain]
    names = local or [str(item.host) for item in members]
    return [HostId(name) for name in ranked(str(server), names)[:_SUCCESSORS]]


def first_order_delay(handover_gap: float, last_order_age: float) -> float:
    """Return the seconds until a successor may send its first order.

    ``handover_gap`` is the shortest permitted time between the orders of two hosts. An
    age that was delayed on its way only makes the delay longer than needed.
    """
    return max(0.0, handover_gap + _MARGIN_SECONDS - last_order_age)
