"""Define what a host says of a request that it passes on to another host."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import AccountName, HostId


@dataclass(frozen=True, slots=True)
class MatchedRoute:
    """Say which route the host that passes a request on has matched it to.

    ``revision`` is that of its configuration. ``is_current`` says whether it has read
    the metadata store within the time in which hosts must act on changes.
    """

    revision: int
    digest: str
    is_current: bool


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """Name the host that passes a request on, and how many servers may still run it.

    ``incarnation`` is that of the host's record in the metadata store, which callers
    cannot read. ``has_account_field`` says that the host has checked the request's key,
    and ``account`` which account it found, ``None`` for a request without one.
    ``route`` is ``None`` if the host does not say how it has matched the request.
    """

    host: HostId
    incarnation: int
    max_servers: int
    account: AccountName | None = None
    has_account_field: bool = False
    route: MatchedRoute | None = None
