"""Define the messages by which hosts share the places of plain servers."""

from dataclasses import dataclass
from enum import Enum

from gooseberrydeal._internal.models.ids import AccountName, HostId, ServerId


class PlaceOutcome(Enum):
    """List what a place keeper answers.

    With ``NOTICE`` it answers nothing, but says whether its server is in demand.
    """

    GRANTED = 0
    WAITS = 1
    NONE_IN_TIME = 2
    NOTICE = 3


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Ask a server's place keeper for a place for one request.

    ``number`` is different for each request of an incarnation of a host. The request
    is late if its response begins later than ``late_in`` seconds from now, and useless
    after ``useless_in`` seconds. ``account`` is empty without a client account, and
    ``tokens`` is what it may occupy of an engine's memory. With ``is_in_use`` it says
    that the place, which was granted, is still needed.
    """

    host: HostId
    incarnation: int
    number: int
    server: ServerId
    rank: int
    late_in: float
    useless_in: float
    account: AccountName
    tokens: int = 0
    is_in_use: bool = False


@dataclass(frozen=True, slots=True)
class PlaceGrant:
    """Answer a request for a place.

    ``seconds`` is for how long a granted place is valid, after how many seconds a
    waiting request is expected to get one, or after how many seconds it is worth
    asking again. ``is_contended`` tells whether hosts have to ask for places at all.
    """

    keeper: HostId
    incarnation: int
    number: int
    server: ServerId
    outcome: PlaceOutcome
    seconds: float
    is_contended: bool


@dataclass(frozen=True, slots=True)
class PlaceRelease:
    """Give a place back, or withdraw the request for one.

    ``was_rejected`` is set if the server rejected the request that had the place.
    ``load`` is how many requests the server just said to have, ``None`` if it did not.
    """

    host: HostId
    incarnation: int
    number: int
    server: ServerId
    was_rejected: bool
    load: int | None = None


PlaceMessage = PlaceRequest | PlaceGrant | PlaceRelease
