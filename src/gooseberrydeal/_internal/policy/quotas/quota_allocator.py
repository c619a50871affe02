"""Grant the tokens of the accounts that this host is the allocator of."""

from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ids import AccountName, HostId
from gooseberrydeal._internal.models.routing.quota_messages import (
    QuotaOffer,
    QuotaRequest,
    QuotaWant,
)
from gooseberrydeal._internal.policy.quotas.account_allocation import (
    AccountAllocation,
)
from gooseberrydeal._internal.policy.quotas.allocator_standing import (
    TAKEOVER_SECONDS,
)
from gooseberrydeal._internal.policy.quotas.member_history import MemberHistory
from gooseberrydeal._internal.policy.quotas.quota_terms import QuotaTerms

# What a host is told that asks one that may not grant: hosts change their allocator
# within about this time.
_ASK_AGAIN_SECONDS: Final = 0.5


class QuotaAllocator:
    """Answer the requests of hosts, each at most once.

    ``terms_of`` returns the terms of an account, ``None`` if it has no quota here.
    """

    def __init__(
        self,
        members: MemberHistory,
        terms_of: Callable[[AccountName], QuotaTerms | None],
    ) -> None:
        self._members = members
        self._terms_of = terms_of
        self._allocations: dict[AccountName, AccountAllocation] = {}
        self._last_sequences: dict[HostId, tuple[int, int]] = {}

    @property
    def is_in_use(self) -> bool:
        """Return whether any account has used a part of its limit lately."""
        return bool(self._allocations)

    def is_repeated(self, request: QuotaRequest) -> bool:
        """Return whether a request, or a later one of its host, came before."""
        known = self._last_sequences.get(request.host)
        is_same_start = known is not None and known[0] == request.incarnation
        if known is not None and is_same_start and request.sequence <= known[1]:
            return True
        self._last_sequences[request.host] = (request.incarnation, request.sequence)
        return False

    def offer(self, want: QuotaWant, now: float, *, may_grant: bool) -> QuotaOffer:
        """Grant tokens, or say when that will be possible.

        Without ``may_grant``, another host may have begun to grant instead.
        """
        terms = self._terms_of(want.account)
        since = self._members.first_since(want.account)
        starts_at = since + TAKEOVER_SECONDS
        if terms is None or not may_grant or now < starts_at:
            wait = starts_at - now if may_grant else _ASK_AGAIN_SECONDS
            is_soon = 0.0 < wait <= TAKEOVER_SECONDS
            return QuotaOffer(
                want.account,
                0.0,
                0.0,
                wait if is_soon else _ASK_AGAIN_SECONDS,
                is_known=False,
            )
        found = self._allocations.get(want.account)
        if found is None or since > found.checked_at:
            found = AccountAllocation(terms, starts_at)
            self._allocations[want.account] = found
        found.checked_at = now
        found.set_terms(terms, now)
        return found.offer(want, now)

    def discard_idle(self, now: float) -> None:
        """Remove full buckets, and those that another host may grant from."""
        for account, found in list(self._allocations.items()):
            is_lost = self._members.first_since(account) > found.checked_at
            if is_lost or found.is_idle(now):
                del self._allocations[account]
            else:
                found.checked_at = now
        for host in self._last_sequences.keys() - self._members.hosts:
            del self._last_sequences[host]

    def used_shares(self, now: float) -> dict[AccountName, float]:
        """Return for each account in use which part of its limit is used up, 0 to 1."""
        return {
            account: found.used_share(now)
            for account, found in self._allocations.items()
        }
