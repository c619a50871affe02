"""Define what hosts tell each other about the quotas of accounts."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import AccountName, HostId


@dataclass(frozen=True, slots=True)
class QuotaWant:
    """Ask for tokens of one account, in the quota's unit.

    ``waiting`` is for requests that wait for the answer, the smallest of which takes
    ``size``. ``ahead`` is for requests that are expected within a grant's lifetime.
    """

    account: AccountName
    waiting: float
    ahead: float
    size: float


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """Ask an allocator for tokens, or a host for the hosts that it knows.

    ``address`` is where the answer is sent. ``asks_members`` is set to ask for the
    digest of the hosts that the receiver knows.
    """

    host: HostId
    incarnation: int
    sequence: int
    address: str
    wants: tuple[QuotaWant, ...] = ()
    asks_members: bool = False


@dataclass(frozen=True, slots=True)
class QuotaOffer:
    """Grant tokens of one account; both times are in seconds.

    The tokens may be spent within ``valid_for`` from when the request for them was
    sent. Where tokens for waiting requests are missing, ``available_in`` says when the
    smallest of these will be within the quota. It is ``None`` if nothing is missing, or
    if the sender does not know: ``is_known`` tells these apart.
    """

    account: AccountName
    tokens: float
    valid_for: float
    available_in: float | None = None
    is_known: bool = True


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Answer a request by its sequence number.

    ``version`` is that of the configuration that the allocator goes by. ``members`` is
    the digest of the hosts that it knows, 0 unless it was asked for.
    """

    host: HostId
    sequence: int
    version: int
    offers: tuple[QuotaOffer, ...] = ()
    members: int = 0
