"""Define how a host that is cut off from the store hands its engines to another."""

from dataclasses import dataclass
from enum import IntEnum

from gooseberrydeal._internal.models.ids import HostId, ServerId


class HandoverStep(IntEnum):
    """List the messages of a handover, in their order."""

    OFFER = 1
    ACCEPTANCE = 2
    RELEASE = 3


@dataclass(frozen=True, slots=True)
class HandoverEngine:
    """Name an engine and the revision of the owner record that is handed over.

    In a release, ``last_order_age`` is the time, in seconds, since the owner sent the
    engine an order; it sends none after the release.
    """

    server: ServerId
    revision: int
    last_order_age: float = 0.0


@dataclass(frozen=True, slots=True)
class OwnerHandover:
    """Offer engines to a host, accept them, or release them to it."""

    host: HostId
    incarnation: int
    step: HandoverStep
    engines: tuple[HandoverEngine, ...]
