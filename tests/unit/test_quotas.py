"""Test the parts that decide about quotas."""

import asyncio
import math
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.ids import AccountName, HostId
from gooseberrydeal._internal.models.routing.client_account import (
    AccountQuota,
    QuotaUnit,
)
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.models.routing.peer_request import PeerRequest
from gooseberrydeal._internal.models.routing.quota_messages import (
    QuotaGrant,
    QuotaOffer,
    QuotaRequest,
    QuotaWant,
)
from gooseberrydeal._internal.network.report_codec import (
    decode_report,
    encode_quota_grant,
    encode_quota_request,
)
from gooseberrydeal._internal.operations.router.quotas.quota_charge import (
    FREE_CHARGE,
    QuotaCharge,
)
from gooseberrydeal._internal.operations.router.quotas.quota_gate import QuotaGate
from gooseberrydeal._internal.policy.quotas.account_allocation import (
    AccountAllocation,
)
from gooseberrydeal._internal.policy.quotas.account_share import AccountShare
from gooseberrydeal._internal.policy.quotas.quota_terms import QuotaTerms
from gooseberrydeal._internal.policy.quotas.reserve_ledger import ReserveLedger
from tests.lib.quota_builders import account, quota_bounds
from tests.lib.quota_world import QuotaWorld
from tests.lib.routing_builders import routed_request
from tests.lib.virtual_loop import run_virtual

_NAME = AccountName("a1")
_tokens = st.integers(0, 10**9).map(lambda number: number / 1000)
_names = st.text(max_size=9).map(AccountName)
_wants = st.builds(QuotaWant, _names, _tokens, _tokens, _tokens)
_offers = st.builds(
    QuotaOffer, _names, _tokens, _tokens, st.none() | _tokens, st.booleans()
)
_numbers = st.integers(0, 2**48)


@given(
    wants=st.lists(_wants, max_size=3).map(tuple), number=_numbers, asks=st.booleans()
)
def test_requests_round_trip(
    wants: tuple[QuotaWant, ...], number: int, asks: bool
) -> None:
    request = QuotaRequest(HostId("h"), number, 7, "127.0.0.1:9", wants, asks)
    assert decode_report(encode_quota_request(request)) == request


@given(offers=st.lists(_offers, max_size=3).map(tuple), number=_numbers)
def test_grants_round_trip(offers: tuple[QuotaOffer, ...], number: int) -> None:
    """Guards against rounding that grants more than was taken from the bucket."""
    grant = QuotaGrant(HostId("h"), 3, 4, offers, number)
    found = decode_report(encode_quota_grant(grant))
    assert isinstance(found, QuotaGrant)
    for offer, sent in zip(found.offers, offers, strict=True):
        assert sent.tokens - 0.0011 <= offer.tokens <= sent.tokens
        assert sent.valid_for - 0.0011 <= offer.valid_for <= sent.valid_for
        assert (offer.available_in is None) == (sent.available_in is None)


@given(
    rate=st.floats(0.1, 1e5),
    burst=st.floats(0.0, 1e6),
    overshoot=st.floats(0.0, 0.5),
    slack=st.floats(0.0, 2e5),
    unit=st.sampled_from(QuotaUnit),
)
def test_grants_and_reserves_stay_within_the_bound(
    rate: float, burst: float, overshoot: float, slack: float, unit: QuotaUnit
) -> None:
    """Guards against buckets, lifetimes or reserves that exceed the bound together."""
    bounds = RoutingBounds(quota_overshoot=overshoot, quota_slack=slack)
    terms = QuotaTerms.from_quota(AccountQuota(rate, burst, unit), bounds)
    limit = rate * bounds.quota_window + burst
    most = limit * (1.0 + overshoot) + slack
    granted = terms.rate * (terms.window + terms.lifetime)
    reserves = terms.reserve(7) * 7 + terms.reserve(None) * 340
    assert granted + max(terms.size, terms.largest) + reserves <= most * (1 + 1e-9)
    if rate * bounds.quota_window > 30:
        assert terms.rate >= 0.95 * rate


def test_a_reserve_is_spent_once_in_a_window() -> None:
    ledger = ReserveLedger()
    assert ledger.spend(2.0, 3.0, 8.0, 0.0)
    assert not ledger.spend(2.0, 3.0, 8.0, 7.9)
    assert ledger.spend(2.0, 3.0, 8.0, 8.1)


def _share(rate: float = 100.0) -> AccountShare:
    terms = QuotaTerms.from_quota(AccountQuota(rate, rate), quota_bounds())
    return AccountShare(_NAME, terms, 3)


@pytest.mark.parametrize(("answered_at", "tokens"), [(0.5, 5.0), (0.6, 0.0)])
def test_a_grant_is_valid_from_when_it_was_asked_for(
    answered_at: float, tokens: float
) -> None:
    """Guards against late grants, for which the allocator has granted others since."""
    share = _share()
    share.receive(QuotaOffer(_NAME, 5.0, 1.0), 3, 0.0, answered_at)
    assert (share.spend(5.0, answered_at) is not None) == (tokens > 0.0)


def test_grants_under_an_earlier_quota_are_void() -> None:
    share = _share()
    share.receive(QuotaOffer(_NAME, 5.0, 1.0), 3, 0.0, 0.0)
    lower = QuotaTerms.from_quota(AccountQuota(10.0, 10.0), quota_bounds())
    share.set_terms(lower, 4)
    assert share.spend(1.0, 0.0) is None
    share.receive(QuotaOffer(_NAME, 5.0, 1.0), 3, 0.0, 0.0)
    assert share.spend(1.0, 0.0) is None


def test_the_time_until_tokens_are_available_is_that_of_the_bucket() -> None:
    terms = QuotaTerms.from_quota(AccountQuota(10.0, 10.0), quota_bounds())
    bucket = AccountAllocation(terms, 0.0)
    bucket.offer(QuotaWant(_NAME, 10.0, 0.0, 1.0), 10.0)
    denied = bucket.offer(QuotaWant(_NAME, 4.0, 0.0, 4.0), 10.1)
    assert denied.tokens == 0.0
    assert denied.available_in == pytest.approx(0.3)
    granted = bucket.offer(QuotaWant(_NAME, 4.0, 0.0, 4.0), 10.1 + 0.3)
    assert granted.tokens == 4.0


class _CountingAdmission:
    """Admit all requests, and count them."""

    def __init__(self, share: AccountShare) -> None:
        self.share = share
        self.sizes: list[float] = []

    async def admit(self, found: Any, size: float, request_id: Any) -> QuotaCharge:
        self.sizes.append(size)
        return QuotaCharge(self.share, self.share.spend(size, 0.0) or ())


@pytest.mark.parametrize(
    ("status", "is_left"),
    [(200, False), (502, False), (None, False), (408, True), (429, True), (503, True)],
)
def test_tokens_of_a_request_that_did_not_run_are_given_back(
    status: int | None, is_left: bool
) -> None:
    share = _share()
    share.receive(QuotaOffer(_NAME, 670.0, 0.5), 3, 0.0, 0.0)
    admission = _CountingAdmission(share)
    gate = QuotaGate(cast(Any, admission))
    request = routed_request()
    request.account = account(unit=QuotaUnit.TOKENS)
    exchange = cast(Any, SimpleNamespace(status=status))

    charge = asyncio.run(gate.enter(request, exchange))
    assert charge is not None
    assert admission.sizes == [670.0]
    gate.leave(charge, exchange)
    assert (share.spend(670.0, 0.1) is not None) == is_left


def test_a_request_that_another_host_passed_on_is_not_charged_again() -> None:
    admission = _CountingAdmission(_share())
    gate = QuotaGate(cast(Any, admission))
    request = routed_request()
    request.account = account()
    request.peer = PeerRequest(HostId("h2"), 1, 2)
    charge = asyncio.run(gate.enter(request, cast(Any, None)))
    assert charge is FREE_CHARGE
    assert admission.sizes == []


def test_an_account_far_below_its_limit_costs_one_datagram_in_a_lifetime() -> None:
    """Guards against datagrams per request, and waits at hosts in steady use."""
    found = account(per_second=1000.0)
    world = QuotaWorld(quota_bounds(slack=1000.0), found)
    seconds, hosts = 20.0, 4

    async def run() -> None:
        await world.start(hosts)
        await world.load(found, 80.0, seconds, [f"h{n}" for n in range(hosts)])
        await asyncio.sleep(5.0)
        idle_from = world.sent
        await asyncio.sleep(20.0)
        assert world.sent == idle_from
        await world.stop()

    run_virtual(run())
    assert world.refusals() == 0
    # The allocator asks itself without datagrams; each request has an answer.
    assert world.sent <= 2 * (hosts - 1) * math.ceil(seconds) * 1.3


def test_nothing_is_sent_or_kept_without_a_quota() -> None:
    found = account(per_second=0.0)
    world = QuotaWorld(quota_bounds(), found)

    async def run() -> None:
        await world.start(4)
        await world.load(found, 50.0, 5.0, list(world.hosts))
        for host in world.hosts.values():
            assert not host.quotas.admission._queues
        await world.stop()

    run_virtual(run())
    assert world.sent == 0
    assert world.refusals() == 0
