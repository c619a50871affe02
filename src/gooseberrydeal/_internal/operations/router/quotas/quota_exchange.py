"""Ask the allocators of accounts for tokens, and answer the hosts that ask this one."""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final

from gooseberrydeal._internal.models.ids import AccountName, HostId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.quota_messages import (
    QuotaGrant,
    QuotaOffer,
    QuotaRequest,
    QuotaWant,
)
from gooseberrydeal._internal.network.report_codec import (
    encode_quota_grant,
    encode_quota_request,
)
from gooseberrydeal._internal.operations.router.quotas.quota_directory import (
    QuotaDirectory,
)
from gooseberrydeal._internal.operations.router.quotas.quota_members import (
    QuotaMembers,
)
from gooseberrydeal._internal.policy.quotas.quota_allocator import QuotaAllocator

# Keeps a datagram within the usual packet size: names have up to 200 bytes, and the
# numbers of an account about 30.
_MAX_DATAGRAM_BYTES: Final = 1_200
_BYTES_PER_WANT: Final = 30
# An answer that arrives later than the longest lifetime of a grant is void.
_ANSWER_KEPT_SECONDS: Final = 1.0
# Sequence numbers start anywhere, so that answers to an earlier process do not count.
_SEQUENCE_BITS: Final = 31

# Called with an offer, the configuration's version that it goes by, when it was asked
# for and its sequence number.
OfferHandler = Callable[[QuotaOffer, int, float, int], None]


class QuotaExchange:
    """Send and receive the datagrams about quotas."""

    def __init__(
        self,
        membership: HostMembership,
        members: QuotaMembers,
        directory: QuotaDirectory,
        send: Callable[[bytes, str], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._members = members
        self._directory = directory
        self._send = send
        self._clock = clock
        self._sequence = rng.getrandbits(_SEQUENCE_BITS)
        self._asked: dict[int, tuple[HostId, float, set[AccountName]]] = {}
        self._on_offer: OfferHandler | None = None
        self._on_demand: Callable[[], None] | None = None
        self.allocator = QuotaAllocator(members.history, directory.find)

    def set_listeners(
        self, on_offer: OfferHandler, on_demand: Callable[[], None]
    ) -> None:
        """Set what is called with each answer, and when another host asks."""
        self._on_offer = on_offer
        self._on_demand = on_demand

    def ask(self, wants: Iterable[QuotaWant]) -> dict[AccountName, int]:
        """Ask each account's allocator; return the requests' sequence numbers.

        The offers for accounts that this host allocates itself arrive at once.
        Accounts without an allocator are left out.
        """
        by_allocator: dict[HostId, list[QuotaWant]] = {}
        for want in wants:
            allocator = self._members.history.allocator(want.account)
            if allocator is not None:
                by_allocator.setdefault(allocator, []).append(want)
        sequences: dict[AccountName, int] = {}
        for allocator, batch in by_allocator.items():
            for part in _datagrams(batch):
                sequence = self._note_asked(allocator, part)
                sequences.update((want.account, sequence) for want in part)
                if allocator != self._members.own:
                    self._send_request(allocator, sequence, part)
        return sequences

    def answer_own(
        self, wants: Iterable[QuotaWant], asked: Mapping[AccountName, int]
    ) -> None:
        """Answer what this host asked of itself."""
        for want in wants:
            if self._members.history.allocator(want.account) == self._members.own:
                self._take_offer(
                    self._offer(want),
                    self._directory.version,
                    self._members.own,
                    asked[want.account],
                )

    def confirm_members(self) -> None:
        """Ask the other hosts for their lists, if this host's is no longer recent."""
        now = self._clock()
        members = self._members
        hosts = members.standing.to_ask(
            members.others, members.history.digest, members.list_age(), now
        )
        for host in hosts:
            self._sequence += 1
            members.standing.asked(host, self._sequence, now)
            self._send_request(host, self._sequence, (), asks_members=True)

    def request_received(self, request: QuotaRequest) -> None:
        """Answer another host."""
        if self.allocator.is_repeated(request):
            return
        self._members.metadata_changed()
        grant = QuotaGrant(
            self._membership.host,
            request.sequence,
            self._directory.version,
            tuple(self._offer(want) for want in request.wants),
            self._members.history.digest if request.asks_members else 0,
        )
        self._send(encode_quota_grant(grant), request.address)
        if request.wants and self._on_demand is not None:
            self._on_demand()

    def grant_received(self, grant: QuotaGrant) -> None:
        """Take in an allocator's answer."""
        if grant.members:
            self._members.standing.answered(grant.host, grant.sequence, grant.members)
        for offer in grant.offers:
            self._take_offer(offer, grant.version, grant.host, grant.sequence)

    def _take_offer(
        self, offer: QuotaOffer, version: int, host: HostId, sequence: int
    ) -> None:
        asked_host, asked_at, accounts = self._asked.get(sequence, (None, 0.0, set()))
        if asked_host != host or offer.account not in accounts:
            return
        accounts.discard(offer.account)
        if not accounts:
            del self._asked[sequence]
        if self._on_offer is not None:
            self._on_offer(offer, version, asked_at, sequence)

    def _offer(self, want: QuotaWant) -> QuotaOffer:
        may_grant = self._members.may_grant()
        return self.allocator.offer(want, self._clock(), may_grant=may_grant)

    def _note_asked(self, allocator: HostId, wants: Sequence[QuotaWant]) -> int:
        now = self._clock()
        while self._asked:
            oldest = next(iter(self._asked))
            if self._asked[oldest][1] >= now - _ANSWER_KEPT_SECONDS:
                break
            del self._asked[oldest]
        self._sequence += 1
        accounts = {want.account for want in wants}
        self._asked[self._sequence] = (allocator, now, accounts)
        return self._sequence

    def _send_request(
        self,
        host: HostId,
        sequence: int,
        wants: Sequence[QuotaWant],
        *,
        asks_members: bool = False,
    ) -> None:
        address = self._members.address(host)
        if address is not None:
            request = QuotaRequest(
                self._membership.host,
                self._membership.incarnation,
                sequence,
                self._membership.address,
                tuple(wants),
                asks_members,
            )
            self._send(encode_quota_request(request), address)


def _datagrams(wants: Sequence[QuotaWant]) -> Iterable[list[QuotaWant]]:
    """Divide what is asked of one allocator into datagrams."""
    part: list[QuotaWant] = []
    size = 0
    for want in wants:
        added = len(want.account) + _BYTES_PER_WANT
        if part and size + added > _MAX_DATAGRAM_BYTES:
            yield part
            part, size = [], 0
        part.append(want)
        size += added
    if part:
        yield part
