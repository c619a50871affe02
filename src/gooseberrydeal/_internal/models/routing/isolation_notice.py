"""Define what hosts tell each other about requests that run in isolation."""

from dataclasses import dataclass
from enum import Enum

from gooseberrydeal._internal.models.ids import HostId, ServerId, ServiceName
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature


class IsolationState(Enum):
    """List the states of an isolated run.

    ``UNDECIDED`` means that its connection was lost and it is not known yet whether the
    server crashed.
    """

    CLAIMED = 1
    ENDED = 2
    CRASHED = 3
    UNDECIDED = 4


@dataclass(frozen=True, slots=True)
class IsolationNotice:
    """Announce that a request that may crash servers runs alone, or how that ended.

    ``number`` is a random number that identifies the run. Of two runs that are claimed
    at the same time, the one with the lower number goes first.
    """

    host: HostId
    number: int
    service: ServiceName
    server: ServerId
    features: tuple[RequestFeature, ...]
    state: IsolationState
