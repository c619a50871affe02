"""Check which features of requests are taken for the causes of crashes."""

import random

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.ids import HostId, RequestId
from gooseberrydeal._internal.policy.crash_causes import CrashedFeature, find_causes
from gooseberrydeal._internal.policy.crash_history import CrashHistory
from gooseberrydeal._internal.policy.refusal_trials import RefusalTrials
from tests.lib.crash_world import crash_id, identity, prompt_part

BAD, OTHER_BAD, FIRST, INNOCENT = map(prompt_part, ("bad", "bad2", "first", "innocent"))
_TURN_SECONDS = 15.0
_HOSTS = [HostId(f"h{number}") for number in range(5)]


def _crashed(
    part: str, crashes: range | list[int], lost_requests: int = 1
) -> CrashedFeature:
    ids = frozenset(map(crash_id, crashes))
    return CrashedFeature(prompt_part(part), ids, lost_requests)


def test_a_part_is_a_cause_after_three_crashes() -> None:
    assert find_causes([_crashed("bad", range(2))]) == frozenset()
    assert find_causes([_crashed("bad", range(3))]) == {BAD}


def test_two_parts_at_the_same_three_crashes_wait_for_the_next() -> None:
    same = [_crashed("bad", range(3)), _crashed("innocent", range(3))]
    assert find_causes(same) == frozenset()
    told_apart = [_crashed("bad", range(4)), _crashed("innocent", range(3))]
    assert find_causes(told_apart) == {BAD}


def test_of_two_parts_that_are_always_together_the_rarer_one_is_the_cause() -> None:
    features = [_crashed("bad", range(4), 4), _crashed("first", range(4), 20)]
    assert find_causes(features) == {BAD}


def test_several_causes_are_found_and_a_part_beside_all_of_them_is_none() -> None:
    features = [
        _crashed("bad", range(6)),
        _crashed("bad2", range(10, 15)),
        _crashed("innocent", [0, 1, 10, 11]),
    ]
    assert find_causes(features) == {BAD, OTHER_BAD}


def test_a_part_that_crashes_servers_without_the_first_cause_is_found_too() -> None:
    both = _crashed("bad", range(6)), _crashed("bad2", [0, 1, 2, 10, 11])
    assert find_causes(both) == {BAD}
    alone = _crashed("bad", range(6)), _crashed("bad2", [0, 1, 2, 10, 11, 12])
    assert find_causes(alone) == {BAD, OTHER_BAD}


def test_a_request_that_comes_again_is_the_cause_rather_than_its_own_parts() -> None:
    whole = identity().fingerprint
    crashes = frozenset(map(crash_id, range(4)))
    features = [CrashedFeature(whole, crashes, 4), _crashed("bad", range(4), 4)]
    assert find_causes(features) == {whole}
    assert find_causes([*features[:1], _crashed("bad", range(7), 7)]) == {BAD}


@given(st.data())
def test_the_cause_is_refused_beside_any_traffic_that_is_answered(
    data: st.DataObject,
) -> None:
    rng = random.Random(data.draw(st.integers(0, 10_000)))
    history = CrashHistory()
    for crash in range(5):
        for part in rng.sample([f"m{n}" for n in range(40)], rng.randrange(8)):
            history.note_crash(prompt_part(part), crash_id(crash), 0.0)
        history.note_crash(FIRST, crash_id(crash), 0.0)
        history.note_crash(BAD, crash_id(crash), 0.0)
        history.note_cleared(FIRST)
    assert history.is_refused(BAD, 0.0)
    assert not history.is_refused(FIRST, 0.0)


def test_a_flood_of_parts_is_bounded_and_displaces_no_refused_part() -> None:
    history = CrashHistory()
    for crash in range(3):
        history.note_crash(BAD, crash_id(crash), 0.0)
    for number in range(20_000):
        history.note_crash(prompt_part(f"p{number}"), crash_id(3 + number % 50), 0.0)
    assert history.count == 4096
    assert history.is_refused(BAD, 0.0)


def test_hosts_agree_that_one_request_a_turn_is_admitted_after_the_refusal() -> None:
    trials = {host: RefusalTrials(host) for host in _HOSTS}
    for turn in range(20):
        now = turn * _TURN_SECONDS + 1.0
        admitted = [
            (host, number)
            for number in range(4)
            for host, trial in trials.items()
            if trial.admits(BAD, RequestId(f"{turn} {host} {number}"), now, _HOSTS)
        ]
        assert len(admitted) == 1
        host, number = admitted[0]
        request = RequestId(f"{turn} {host} {number}")
        assert trials[host].admits(BAD, request, now + _TURN_SECONDS, _HOSTS)
