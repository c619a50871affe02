"""Check which requests are refused for crashes, in any order of the evidence."""

from hashlib import blake2b
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.routing.crash_evidence import CrashEvidence
from gooseberrydeal._internal.models.routing.crash_id import CrashId
from gooseberrydeal._internal.network.crash_codec import (
    decode_crash_record,
    encode_crash_record,
)
from gooseberrydeal._internal.policy import request_identity
from gooseberrydeal._internal.policy.crash_history import CrashHistory
from tests.lib.crash_world import CRASHING, crash_id, identity

KEY = identity().fingerprint
_MAX_REQUESTS = 4096
_MAX_CRASHES = 16_384


def _history(crashes: int, now: float = 0.0) -> CrashHistory:
    history = CrashHistory()
    for number in range(crashes):
        history.note_crash(KEY, crash_id(number), now)
    return history


def test_requests_are_the_same_by_path_caller_and_body() -> None:
    history = _history(3)
    assert history.find(identity(request_id="q2")) == KEY
    for other in (
        identity(path="/a/c"),
        identity(caller="c2"),
        identity(body=b"crashinG"),
        identity(path="/a/bc", caller="1"),
        identity(path="/a/b\0c1", caller=""),
    ):
        assert history.find(other) is None


def test_bodies_are_not_read_unless_path_caller_and_length_match() -> None:
    long_body = bytes(4_000_000)
    with patch.object(request_identity, "blake2b", wraps=blake2b) as digest:
        assert CrashHistory().find(identity(long_body)) is None
        assert digest.call_count == 0
        history = _history(3)
        digest.reset_mock()
        assert history.find(identity(long_body)) is None
        assert max(len(call.args[0]) for call in digest.call_args_list) < 100
        same_length = identity(b"x" * len(CRASHING))
        for _ in range(5):
            assert history.find(same_length) is None
        bodies = [c for c in digest.call_args_list if c.args[0] == b"x" * len(CRASHING)]
        assert len(bodies) == 1


def test_a_request_is_refused_after_crashes_of_three_starts_of_servers() -> None:
    history = _history(2)
    history.note_crash(KEY, crash_id(0), 0.0)
    assert not history.is_refused(KEY, 0.0)
    history.note_crash(KEY, CrashId(crash_id(0).server, 2, 1), 0.0)
    assert history.is_refused(KEY, 0.0)


def test_a_server_that_crashes_again_unknown_to_the_store_counts_again() -> None:
    history = CrashHistory()
    for number in (1, 2, 3):
        history.note_crash(KEY, CrashId(crash_id(0).server, 1, number), 0.0)
    assert history.is_refused(KEY, 0.0)


def test_a_served_request_starts_anew() -> None:
    history = _history(2)
    assert history.note_cleared(KEY) == 2
    assert history.note_cleared(KEY) == 0
    for number in (0, 1, 2, 3):
        history.note_crash(KEY, crash_id(number), 0.0)
    assert not history.is_refused(KEY, 0.0)
    history.note_crash(KEY, crash_id(4), 0.0)
    assert history.is_refused(KEY, 0.0)


def test_a_request_beside_a_stronger_suspect_is_not_refused() -> None:
    history = _history(4)
    innocent = identity(b"innocent").fingerprint
    for number in range(3):
        history.note_crash(innocent, crash_id(number), 0.0)
    assert history.is_refused(KEY, 0.0)
    assert not history.is_refused(innocent, 0.0)


def test_requests_that_were_always_together_are_told_apart_by_one_more_crash() -> None:
    history = _history(3)
    innocent = identity(b"innocent").fingerprint
    for number in range(3):
        history.note_crash(innocent, crash_id(number), 0.0)
    assert not history.is_refused(KEY, 0.0)
    assert not history.is_refused(innocent, 0.0)
    history.note_crash(KEY, crash_id(3), 0.0)
    assert history.is_refused(KEY, 0.0)
    assert not history.is_refused(innocent, 0.0)


def test_a_request_is_refused_as_soon_as_its_companion_was_served() -> None:
    history = _history(3)
    innocent = identity(b"innocent").fingerprint
    for number in range(3):
        history.note_crash(innocent, crash_id(number), 0.0)
    history.note_cleared(innocent)
    assert history.is_refused(KEY, 0.0)


def test_two_requests_that_always_crash_servers_together_are_both_refused() -> None:
    history = _history(4)
    other = identity(b"other").fingerprint
    for number in range(4):
        history.note_crash(other, crash_id(number), 0.0)
    assert history.is_refused(KEY, 0.0)
    assert history.is_refused(other, 0.0)


def test_a_refused_request_is_allowed_again_and_one_more_crash_refuses_it_longer() -> (
    None
):
    history = _history(3)
    assert history.is_refused(KEY, 119.0)
    assert not history.is_refused(KEY, 121.0)
    history.expire(121.0)
    history.note_crash(KEY, crash_id(3), 121.0)
    assert history.is_refused(KEY, 121.0 + 239.0)
    assert not history.is_refused(KEY, 121.0 + 241.0)


def test_evidence_expires() -> None:
    history = _history(3)
    history.expire(8_000.0)
    assert history.count == 0
    assert history.find(identity()) is None


def test_a_flood_of_suspects_displaces_no_refused_request() -> None:
    history = _history(3)
    for number in range(_MAX_REQUESTS * 2):
        history.note_crash(
            identity(b"%d" % number).fingerprint, crash_id(number), float(number) / 1e4
        )
    assert history.count == _MAX_REQUESTS
    assert history.is_refused(KEY, 1.0)
    assert next(history.by_importance()) == KEY


def test_a_flood_of_refused_requests_is_bounded() -> None:
    history = CrashHistory()
    for number in range(_MAX_REQUESTS):
        fingerprint = identity(b"%d" % number).fingerprint
        for server in range(12):
            history.note_crash(fingerprint, crash_id(12 * number + server), 0.0)
    assert history.count <= _MAX_CRASHES / 12
    newest = identity(b"%d" % (_MAX_REQUESTS - 1)).fingerprint
    assert history.is_refused(newest, 0.0)


def test_a_request_with_very_many_crashes_is_described_by_a_few() -> None:
    history = _history(1000)
    history.note_cleared(KEY)
    history.note_crash(KEY, crash_id(1000), 0.0)
    evidence = history.evidence_of(KEY, 0.0)
    assert evidence is not None
    assert len(evidence.crashes) == 8
    assert evidence.crashes[crash_id(1000)] is False
    assert history.crash_count(KEY) == 1


_EVIDENCE = st.builds(
    CrashEvidence,
    st.sampled_from([identity(b"1").fingerprint, identity(b"2").fingerprint]),
    st.dictionaries(st.builds(crash_id, st.integers(0, 3)), st.booleans(), min_size=1),
    st.floats(0.0, 100.0).map(lambda seconds: round(seconds, 3)),
)


@given(st.lists(_EVIDENCE, max_size=8), st.randoms(use_true_random=False))
def test_evidence_that_is_late_doubled_or_out_of_order_gives_the_same_counts(
    evidence: list[CrashEvidence], rng: object
) -> None:
    ordered, shuffled = CrashHistory(), CrashHistory()
    for item in evidence:
        ordered.merge(item, 0.0)
    mixed = [*evidence, *evidence]
    rng.shuffle(mixed)  # type: ignore[attr-defined]
    for item in mixed:
        shuffled.merge(item, 0.0)
    for item in evidence:
        count = ordered.crash_count(item.feature)
        assert shuffled.crash_count(item.feature) == count


@given(st.lists(_EVIDENCE, max_size=4))
def test_stored_records_are_decoded_as_written(evidence: list[CrashEvidence]) -> None:
    decoded = decode_crash_record(encode_crash_record(evidence))
    assert [item.feature for item in decoded] == [e.feature for e in evidence]
    assert [item.crashes for item in decoded] == [e.crashes for e in evidence]
