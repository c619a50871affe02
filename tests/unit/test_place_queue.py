"""Test the order of waiting requests, and the places of one server."""

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.ids import AccountName, HostId, ServerId
from gooseberrydeal._internal.models.routing.place_messages import (
    PlaceGrant,
    PlaceMessage,
    PlaceOutcome,
    PlaceRelease,
    PlaceRequest,
)
from gooseberrydeal._internal.network.report_codec import (
    decode_report,
    encode_place_message,
)
from gooseberrydeal._internal.policy.waiting.place_limit import QUEUE_PLACES
from gooseberrydeal._internal.policy.waiting.place_queue import (
    PlaceAnswer,
    PlaceId,
    PlaceQueue,
)
from gooseberrydeal._internal.policy.waiting.server_room import ServerRoom
from gooseberrydeal._internal.policy.waiting.urgency import (
    MIN_RANK_SHARE_PLACES,
    Urgency,
)
from gooseberrydeal._internal.policy.waiting.waiting_request import WaitingRequest

_SLOTS = 2
_PLACES = _SLOTS + QUEUE_PLACES


def _place(number: int, host: str = "h1", incarnation: int = 1) -> PlaceId:
    return PlaceId(HostId(host), incarnation, number)


def _request(rank: int = 0, account: str = "", late_at: float = 1.0) -> WaitingRequest:
    return WaitingRequest(rank, account, late_at, 60.0)


def _full_queue() -> PlaceQueue:
    queue = PlaceQueue(ServerRoom(_SLOTS), 0, 0.0)
    for number in range(_PLACES):
        queue.ask(_place(number), _request(), 0.0)
    return queue


def _granted(answers: list[PlaceAnswer]) -> list[int]:
    return [a.place.number for a in answers if a.outcome is PlaceOutcome.GRANTED]


def test_the_most_urgent_request_gets_the_next_place() -> None:
    queue = _full_queue()
    queue.ask(_place(10), _request(rank=1), 0.0)
    queue.ask(_place(11), _request(late_at=0.05), 0.0)
    queue.ask(_place(12), _request(late_at=0.9), 0.0)
    queue.ask(_place(13), _request(late_at=0.8), 0.0)
    freed = [queue.release(_place(n), 0.1, was_rejected=False) for n in range(_PLACES)]
    # 11 would be late already, and 10 is less urgent than all.
    assert [_granted(answers) for answers in freed] == [[13], [12], [11]]


def test_places_without_release_are_free_after_their_lease() -> None:
    # Guards against places that are lost with the host that holds them.
    queue = _full_queue()
    queue.ask(_place(9), _request(), 0.0)
    assert _granted(queue.advance(0.5)) == []
    assert _granted(queue.advance(0.7)) == [9]
    assert queue.expired == _PLACES


def test_places_that_hosts_confirm_are_not_given_to_others() -> None:
    # Guards against long streams whose place is given to another request.
    queue = _full_queue()
    queue.ask(_place(9), _request(), 0.0)
    for step in range(1, 40):
        for answer in queue.repeat_grants(step / 10):
            queue.confirm(answer.place, step / 10)
        assert _granted(queue.advance(step / 10)) == []


def test_requests_wait_until_the_memory_of_the_engine_has_room() -> None:
    # Guards against engines that end since their requests exceed their memory.
    queue = PlaceQueue(ServerRoom(20, max_tokens=1000.0), 2, 0.0, 300.0)
    sizes = {1: 400, 2: 400, 3: 100}
    for number, tokens in sizes.items():
        queue.ask(_place(number), WaitingRequest(0, "", number, 60.0, tokens), 0.0)
    # The small one does not overtake, so that the large one gets its turn.
    assert (queue.granted, queue.waiting) == (1, 2)
    assert _granted(queue.advance(0.2)) == [2, 3]


def test_a_restarted_host_holds_nothing() -> None:
    queue = _full_queue()
    queue.drop_earlier(HostId("h1"), 2)
    assert _granted(queue.ask(_place(1, incarnation=2), _request(), 0.1)) == [1]


def test_late_and_doubled_requests_take_no_place() -> None:
    queue = PlaceQueue(ServerRoom(_SLOTS), 0, 0.0)
    queue.release(_place(5), 0.0, was_rejected=False)
    assert queue.ask(_place(5), _request(), 0.01) == []
    first = queue.ask(_place(6), _request(), 0.01)
    assert queue.ask(_place(6), _request(), 0.02) == first
    assert queue.granted == 1


def test_requests_that_cannot_be_served_in_time_are_refused_at_once() -> None:
    queue = _full_queue()
    hopeless = WaitingRequest(0, "", 0.05, 0.12)
    assert [a.outcome for a in queue.ask(_place(9), hopeless, 0.0)] == [
        PlaceOutcome.NONE_IN_TIME
    ]
    fits = WaitingRequest(1, "", 0.05, 0.2)
    assert [a.outcome for a in queue.ask(_place(10), fits, 0.0)] == [PlaceOutcome.WAITS]
    for number in range(20, 24):
        queue.ask(_place(number), _request(), 0.0)
    # The more urgent ones that came later leave no place in time for it.
    assert [a.place.number for a in queue.refuse_hopeless(0.01)] == [10]


def test_a_server_that_rejects_gets_fewer_requests_for_a_while() -> None:
    # Guards against two keepers that both fill a server.
    queue = _full_queue()
    queue.ask(_place(9), _request(), 0.0)
    assert _granted(queue.release(_place(0), 0.01, was_rejected=True)) == []
    assert _granted(queue.advance(0.55)) == [9]


def test_accounts_share_a_rank_evenly_and_every_rank_gets_some() -> None:
    urgency = Urgency()
    waiting = {n: _request(account="large", late_at=n) for n in range(200)}
    waiting |= {1000 + n: _request(account="small", late_at=900.0) for n in range(9)}
    waiting[5000] = _request(rank=3)
    served = []
    for _ in range(2 * MIN_RANK_SHARE_PLACES):
        chosen = urgency.next(waiting, 0.0, 0.1)
        request = waiting.pop(chosen)
        urgency.note_served(request, waiting)
        served.append(chosen)
    assert sum(1000 <= item < 2000 for item in served[:18]) == 9
    assert served.index(5000) == MIN_RANK_SHARE_PLACES - 1


_names = st.text(max_size=9)
_numbers = st.integers(0, 2**48)
_times = st.integers(-5000, 5000).map(lambda number: number / 1000)
_messages = st.one_of(
    st.builds(
        PlaceRequest,
        _names.map(HostId),
        _numbers,
        _numbers,
        _names.map(ServerId),
        st.integers(0, 9),
        _times,
        _times,
        _names.map(AccountName),
        _numbers,
        st.booleans(),
    ),
    st.builds(
        PlaceGrant,
        _names.map(HostId),
        _numbers,
        _numbers,
        _names.map(ServerId),
        st.sampled_from(PlaceOutcome),
        _times,
        st.booleans(),
    ),
    st.builds(
        PlaceRelease,
        _names.map(HostId),
        _numbers,
        _numbers,
        _names.map(ServerId),
        st.booleans(),
        st.none() | _numbers,
    ),
)


@given(message=_messages)
def test_messages_survive(message: PlaceMessage) -> None:
    found = decode_report(encode_place_message(message))
    assert type(found) is type(message)
    for name in type(message).__slots__:
        sent, got = getattr(message, name), getattr(found, name)
        assert got == sent or abs(got - sent) < 0.0011
