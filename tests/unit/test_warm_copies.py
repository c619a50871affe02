"""Test what hosts know of the copies that an engine can load without a fetch."""

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.network.report_codec import decode_report, encode_status
from gooseberrydeal._internal.policy.load_time import LoadTime
from gooseberrydeal._internal.policy.loads.warm_copies import WarmCopies
from tests.lib.routing_builders import copy_key, engine_status


@given(st.sets(st.integers(0, 9_999), max_size=96))
def test_no_warm_copy_is_forgotten(numbers: set[int]) -> None:
    """Guards against fetches of copies that an engine has in memory."""
    keys = [copy_key(f"a{number}") for number in numbers]
    found = WarmCopies.decode(WarmCopies.from_keys(keys).encode())
    assert found is not None
    assert all(key in found for key in keys)


def test_few_copies_seem_warm_that_are_not() -> None:
    """Guards against a summary that is too small for the copies of an engine."""
    found = WarmCopies.from_keys(copy_key(f"a{number}") for number in range(96))
    wrong = sum(copy_key(f"a{number}") in found for number in range(1_000, 3_000))
    assert wrong < 0.03 * 2_000


def test_warm_copies_survive_and_are_optional() -> None:
    """Guards against statuses of earlier versions that hosts can't read."""
    data = WarmCopies.from_keys([copy_key("a1")]).encode()
    for sent in (data, b""):
        found = decode_report(encode_status(engine_status(warm_copies=sent)))
        assert found is not None
        assert isinstance(found, EngineStatus)
        assert found.warm_copies == sent
    assert WarmCopies.decode(b"short") is None


def test_loads_beyond_the_estimate_that_are_on_time_raise_it() -> None:
    """Guards against waits for loads that a faster weight store has finished."""
    times = LoadTime()
    slow = times.expected_seconds(copy_key("x"), 60)
    for number in range(40):
        key = copy_key(f"a{number}")
        times.begin(key, 60)
        times.note_used(key)
    raised = times.expected_seconds(copy_key("x"), 60)
    assert raised < 0.5 * slow
    for number in range(40):
        key = copy_key(f"b{number}")
        times.begin(key, 60)
        times.note_missing(key)
    assert times.expected_seconds(copy_key("x"), 60) > raised


def test_copies_that_were_dropped_from_memory_lower_the_number_kept() -> None:
    """Guards against a number of kept copies that is larger than the engine's."""
    times = LoadTime()
    for number in range(96):
        times.note_held(copy_key(f"a{number}"))
    assert times.is_warm(copy_key("a0"))
    times.begin(copy_key("a0"), 0)
    times.note_missing(copy_key("a0"))
    times.note_held(copy_key("b"))
    assert not times.is_warm(copy_key("a1"))
