"""Test which waiting requests are checked next, and which are refused early."""

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.policy.waiting.admission_order import AdmissionOrder
from gooseberrydeal._internal.policy.waiting.service_ranks import service_ranks
from gooseberrydeal._internal.policy.waiting.wait_limit import latest_send
from gooseberrydeal._internal.policy.waiting.waiting_request import WaitingRequest
from tests.lib.routing_builders import LANGUAGE, PLAIN, configuration, route


def _request(
    rank: int = 0, late_at: float = 1.0, useless_at: float = 4.0
) -> WaitingRequest:
    return WaitingRequest(rank, "", late_at, useless_at)


def _order(count: int, rank: int = 0) -> AdmissionOrder[int]:
    order: AdmissionOrder[int] = AdmissionOrder()
    for number in range(count):
        order.enter(number, _request(rank), 0.0)
    return order


def test_all_requests_are_checked_in_turn_beside_the_most_urgent() -> None:
    # Guards against requests whose engine has room, but that are never checked.
    order = _order(20)
    order.enter(100, _request(rank=5), 0.0)
    seen = {key for _ in range(10) for key in order.next_to_check(0.0)}
    assert seen == {*range(20), 100}


def test_a_new_request_yields_only_to_more_urgent_ones() -> None:
    order = _order(1, rank=1)
    assert order.must_yield(_request(rank=2), 0.0)
    assert not order.must_yield(_request(rank=0), 0.0)
    # What is late already has no claim before what can be on time.
    assert not order.must_yield(_request(rank=1, late_at=9.0), 1.5)


def test_requests_without_a_chance_are_refused_once_the_rate_is_known() -> None:
    order = _order(30)
    late = _request(rank=1)
    order.enter(100, late, 0.0)
    assert not order.is_hopeless(late, 0.5)
    # Three requests a second leave the queue, with the allowance for few counts.
    for number in range(6):
        order.note_sent(_request(), 1.0 + number / 3)
    assert order.is_hopeless(late, 2.9)
    assert not order.is_hopeless(_request(late_at=0.5, useless_at=30.0), 2.9)
    assert 5.0 < order.drain_seconds(2.9) <= 11.0


def test_deferred_requests_wait_as_long_as_their_deadline_lets_them() -> None:
    deferred = route(target_latency=2.0)
    assert latest_send(deferred, 100.0, 112.0) == 110.0
    stream = route(target_latency=0.8, caller_idle_timeout=3.2)
    assert latest_send(stream, 100.0, 112.0) < 103.2


def test_services_have_the_ranks_of_their_routes() -> None:
    found = configuration(routes=(route(rank=1), route(rank=3)))
    assert service_ranks(found, LANGUAGE) == {1, 3}
    assert service_ranks(found, PLAIN) == set()
    assert service_ranks(None, ServiceName("any")) == set()
