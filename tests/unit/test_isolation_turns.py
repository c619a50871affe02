"""Check which requests that may crash servers run next, and on which servers."""

from gooseberrydeal._internal.models.ids import HostId, ServerId, ServiceName
from gooseberrydeal._internal.models.routing.isolation_notice import (
    IsolationNotice,
    IsolationState,
)
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature
from gooseberrydeal._internal.policy.isolation_turns import IsolationTurns, Turn

_SERVICE = ServiceName("desk")


def _feature(name: str) -> RequestFeature:
    return RequestFeature(b"outline", name.encode())


def _notice(
    number: int, state: IsolationState = IsolationState.CLAIMED, feature: str = "a"
) -> IsolationNotice:
    return IsolationNotice(
        HostId("h1"),
        number,
        _SERVICE,
        ServerId(f"s{number}"),
        (_feature(feature),),
        state,
    )


def _turn(
    turns: IsolationTurns,
    available: int,
    now: float,
    feature: str = "b",
    *,
    is_first: bool = False,
) -> Turn:
    return turns.turn(
        _SERVICE, (_feature(feature),), available, now, is_first_suspicion=is_first
    )


def test_one_suspect_at_a_time_runs_in_a_small_service() -> None:
    turns = IsolationTurns()
    assert _turn(turns, 3, 0.0) is Turn.FREE
    turns.note(_notice(1), 0.0)
    assert _turn(turns, 3, 0.1) is Turn.BUSY
    assert turns.busy_servers(_SERVICE, 0.1) == {"s1"}
    assert not turns.busy_servers(ServiceName("other"), 0.1)
    turns.note(_notice(1, IsolationState.ENDED), 0.2)
    assert _turn(turns, 3, 0.3) is Turn.FREE


def test_suspects_wait_until_a_server_that_they_crashed_is_back() -> None:
    turns = IsolationTurns()
    turns.note_servers(_SERVICE, 3, 0.0)
    turns.note(_notice(1), 0.0)
    turns.note(_notice(1, IsolationState.CRASHED), 0.1)
    assert _turn(turns, 2, 0.2) is Turn.HELD
    assert _turn(turns, 2, 0.2, is_first=True) is Turn.HELD
    assert _turn(turns, 3, 3.0) is Turn.FREE


def test_a_request_that_was_at_one_crash_does_not_wait_for_the_server() -> None:
    turns = IsolationTurns()
    turns.note_servers(_SERVICE, 3, 0.0)
    assert _turn(turns, 2, 0.2, is_first=True) is Turn.FREE
    assert _turn(turns, 1, 0.2, is_first=True) is Turn.FREE
    assert _turn(turns, 2, 0.2) is Turn.HELD


def test_several_suspects_run_at_once_in_a_large_service() -> None:
    turns = IsolationTurns()
    turns.note_servers(_SERVICE, 9, 0.0)
    turns.note(_notice(1), 0.0)
    turns.note(_notice(2), 0.0)
    assert _turn(turns, 9, 0.1) is Turn.FREE
    assert _turn(turns, 8, 0.1) is Turn.BUSY
    assert _turn(turns, 6, 0.1) is Turn.HELD


def test_the_same_suspect_does_not_run_twice_at_once() -> None:
    turns = IsolationTurns()
    turns.note_servers(_SERVICE, 9, 0.0)
    turns.note(_notice(1, feature="a"), 0.0)
    assert _turn(turns, 9, 0.1, "a") is Turn.BUSY


def test_a_suspect_whose_last_run_is_undecided_is_held_until_the_verdict() -> None:
    turns = IsolationTurns()
    turns.note_servers(_SERVICE, 3, 0.0)
    turns.note(_notice(1, IsolationState.UNDECIDED), 0.0)
    assert _turn(turns, 3, 9.9, "a") is Turn.HELD
    assert _turn(turns, 3, 9.9, "b") is Turn.FREE
    assert _turn(turns, 3, 10.0, "a") is Turn.FREE


def test_the_run_of_a_host_that_ended_does_not_block_others_for_long() -> None:
    turns = IsolationTurns()
    turns.note_servers(_SERVICE, 3, 0.0)
    turns.note(_notice(1), 0.0)
    assert _turn(turns, 3, 4.9) is Turn.BUSY
    assert _turn(turns, 3, 5.0) is Turn.FREE
    assert not turns.busy_servers(_SERVICE, 5.0)


def test_of_two_claims_at_the_same_time_the_lower_number_goes_first() -> None:
    turns = IsolationTurns()
    turns.note_servers(_SERVICE, 3, 0.0)
    turns.note(_notice(2), 0.0)
    turns.note(_notice(1), 0.0)
    assert turns.goes_first(1, _SERVICE, 3, 0.0, is_first_suspicion=False)
    assert not turns.goes_first(2, _SERVICE, 3, 0.0, is_first_suspicion=False)


def test_a_claimed_run_does_not_begin_if_a_server_crashed_meanwhile() -> None:
    turns = IsolationTurns()
    turns.note_servers(_SERVICE, 3, 0.0)
    turns.note(_notice(1), 0.0)
    turns.note_crash(ServerId("s9"), 0.0)
    assert turns.has_crashed(ServerId("s9"), 1.0)
    assert not turns.has_crashed(ServerId("s8"), 1.0)
    assert not turns.has_crashed(ServerId("s9"), 5.0)
    assert not turns.goes_first(1, _SERVICE, 2, 0.1, is_first_suspicion=False)


def test_a_service_with_one_server_goes_on() -> None:
    turns = IsolationTurns()
    turns.note_servers(_SERVICE, 1, 0.0)
    assert _turn(turns, 1, 0.1) is Turn.FREE
    assert _turn(turns, 0, 0.1) is Turn.HELD


def test_servers_that_are_gone_for_good_are_not_waited_for() -> None:
    turns = IsolationTurns()
    turns.note_servers(_SERVICE, 3, 0.0)
    turns.note_servers(_SERVICE, 2, 30.0)
    assert _turn(turns, 2, 30.0) is Turn.HELD
    turns.note_servers(_SERVICE, 2, 30.1)
    assert _turn(turns, 2, 30.2) is Turn.FREE
