"""Decide whether a request is admitted with the key that it has."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.account_directory import (
    AccountDirectory,
)
from gooseberrydeal._internal.models.routing.client_account import ClientAccount
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds

# Part of the bound on revocation that is kept back for the time between the check of a
# key and the send, and for the difference between the rates of two hosts' clocks.
REVOCATION_MARGIN_SECONDS: Final = 0.25
# Short, since other hosts may have read the store more recently.
UNCONFIRMED_RETRY_AFTER_SECONDS: Final = 0.05


class KeyState(Enum):
    """List what is known of a request's key; metrics and logs get the values.

    It is not read if the configuration has no route for the request.
    """

    KNOWN = "known"
    UNKNOWN = "unknown"
    MISSING = "missing"
    MALFORMED = "malformed"
    NOT_READ = "not_read"


@dataclass(frozen=True, slots=True)
class KeyCheck:
    """Hold the outcome of a check: an account, a refusal, or neither.

    A request on an open route may have neither.
    """

    state: KeyState
    account: ClientAccount | None = None
    refusal: RefusalReason | None = None

    @property
    def retry_after(self) -> float | None:
        """Return after how many seconds to try again, ``None`` if that cannot help."""
        if self.refusal is RefusalReason.ACCOUNT_UNCONFIRMED:
            return UNCONFIRMED_RETRY_AFTER_SECONDS
        return None


def revocation_age(bounds: RoutingBounds) -> float | None:
    """Return how old a proof may be for known keys, ``None`` for any age."""
    if not bounds.has_strict_revocation:
        return None
    return bounds.revocation - REVOCATION_MARGIN_SECONDS


def has_lapsed(age: float, bounds: RoutingBounds) -> bool:
    """Return whether the proof is too old to admit known keys."""
    limit = revocation_age(bounds)
    return limit is not None and not age <= limit


def unknown_refusal(age: float, bounds: RoutingBounds) -> RefusalReason:
    """Return how to refuse what the configuration does not allow.

    A configuration that has become active since may allow it.
    """
    if age <= bounds.store_change:
        return RefusalReason.UNAUTHENTICATED
    return RefusalReason.ACCOUNT_UNCONFIRMED


def check_key(
    directory: AccountDirectory,
    key: bytes | None,
    age: float,
    bounds: RoutingBounds,
    *,
    is_open: bool,
) -> KeyCheck:
    """Return whether a request is admitted, and for which account.

    ``key`` is ``None`` if there is none, and empty if it is malformed. ``age`` is that
    of the proof of the configuration, in seconds; ``is_open`` says whether the route
    needs no key.
    """
    account = directory.find(key) if key else None
    if account is not None:
        if not has_lapsed(age, bounds):
            return KeyCheck(KeyState.KNOWN, account)
        # Also on an open route: without the account it would be served as another's.
        return KeyCheck(KeyState.KNOWN, refusal=RefusalReason.ACCOUNT_UNCONFIRMED)
    if key is None:
        state = KeyState.MISSING
    else:
        state = KeyState.UNKNOWN if key else KeyState.MALFORMED
    if is_open:
        return KeyCheck(state)
    return KeyCheck(state, refusal=unknown_refusal(age, bounds))
