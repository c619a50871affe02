"""Test the choice of engines for requests and for adapter loads."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.policy.engine_choice import (
    EngineAction,
    EngineCandidate,
    RequestSize,
    choose_engine,
    is_batch_full,
)
from gooseberrydeal._internal.policy.speeds.default_speed import DEFAULT_ENGINE_SPEED
from gooseberrydeal._internal.policy.speeds.prefill_limit import PrefillLimit
from tests.lib.routing_builders import candidate, copy_key

SIZE = RequestSize(650, 720)


def test_engine_with_a_ready_copy_and_the_shortest_queue_is_chosen() -> None:
    engines = [
        candidate("i-1", copy=CopyState.READY, pending_prefill_tokens=4000.0),
        candidate("i-2", copy=CopyState.READY, pending_prefill_tokens=500.0),
        candidate("i-3"),
    ]
    found = choose_engine(copy_key(), SIZE, engines)
    assert (found.action, found.server) == (EngineAction.SEND, "i-2")


def test_long_queue_justifies_an_additional_copy() -> None:
    engines = [
        candidate("i-1", copy=CopyState.READY, pending_prefill_tokens=20_000.0),
        candidate("i-2"),
    ]
    found = choose_engine(copy_key(), SIZE, engines)
    assert (found.action, found.server) == (EngineAction.LOAD, "i-2")


def test_short_queue_does_not_justify_an_additional_copy() -> None:
    engines = [
        candidate("i-1", copy=CopyState.READY, pending_prefill_tokens=7_000.0),
        candidate("i-2"),
    ]
    assert choose_engine(copy_key(), SIZE, engines).server == "i-1"


def test_first_load_goes_to_the_same_engine_whatever_the_candidate_order() -> None:
    engines = [candidate(f"i-{number}") for number in range(9)]
    shuffled = random.Random(1).sample(engines, len(engines))
    first = choose_engine(copy_key("a77"), SIZE, engines)
    assert first.action is EngineAction.LOAD
    assert choose_engine(copy_key("a77"), SIZE, shuffled).server == first.server


def test_engine_with_the_weights_in_memory_is_preferred_for_a_load() -> None:
    engines = [candidate(f"i-{number}", is_warm=number == 4) for number in range(9)]
    for adapter in range(20):
        assert choose_engine(copy_key(f"a{adapter}"), SIZE, engines).server == "i-4"


@pytest.mark.parametrize(
    "changes",
    [{"requests": 127.0}, {"tokens": 140_000.0, "requests": 5.0}, {"has_model": False}],
)
def test_engine_without_capacity_or_model_is_not_chosen(
    changes: dict[str, float],
) -> None:
    engines = [candidate("i-1", copy=CopyState.READY, **changes)]
    assert choose_engine(copy_key(), SIZE, engines).action is EngineAction.WAIT


def test_slow_engine_at_its_unread_limit_gets_no_further_prompts() -> None:
    limit = PrefillLimit(longest_pause=0.4, target_latency=0.8)
    slow = limit.pending_tokens(DEFAULT_ENGINE_SPEED, 2, 2.5)
    assert slow < limit.pending_tokens(DEFAULT_ENGINE_SPEED, 2, 1.0)
    engines = [
        candidate(
            "i-1",
            copy=CopyState.READY,
            pending_prefill_tokens=1300.0,
            pending_prefill_limit=slow,
            slowdown=2.5,
        ),
        candidate("i-2", copy=CopyState.READY, pending_prefill_tokens=3000.0),
    ]
    assert choose_engine(copy_key(), SIZE, engines).server == "i-2"
    assert choose_engine(copy_key(), SIZE, engines[:1]).action is EngineAction.WAIT


def test_long_prompt_avoids_engines_with_many_running_requests() -> None:
    engines = [
        candidate("i-1", copy=CopyState.READY, requests=20.0),
        candidate(
            "i-2", copy=CopyState.READY, requests=2.0, pending_prefill_tokens=4000.0
        ),
    ]
    short, long = SIZE, RequestSize(9000, 9100)
    assert choose_engine(copy_key(), short, engines).server == "i-1"
    assert choose_engine(copy_key(), long, engines).server == "i-2"


def test_expected_uses_lower_the_threshold_for_an_additional_copy() -> None:
    engines = [
        candidate("i-1", copy=CopyState.READY, pending_prefill_tokens=8_000.0),
        candidate("i-2"),
    ]
    assert choose_engine(copy_key(), SIZE, engines).server == "i-1"
    popular = choose_engine(copy_key(), SIZE, engines, expected_uses=20.0)
    assert (popular.action, popular.server) == (EngineAction.LOAD, "i-2")


def test_request_queues_at_a_reporting_owner_when_no_slot_is_available() -> None:
    engines = [
        candidate(f"i-{n}", can_load=False, accepts_load_orders=n != 3)
        for n in range(6)
    ]
    found = choose_engine(copy_key(), SIZE, engines)
    assert found.action is EngineAction.QUEUE
    assert found.server not in (None, "i-3")
    assert choose_engine(copy_key(), SIZE, engines[::-1]).server == found.server
    without_owners = [candidate("i-1", can_load=False)]
    assert choose_engine(copy_key(), SIZE, without_owners).action is EngineAction.WAIT


@pytest.mark.parametrize("has_model", [True, False])
def test_a_wait_for_an_owner_is_told_from_a_wait_for_capacity(has_model: bool) -> None:
    # Guards against requests that only an owner could help and that count as overload.
    idle = candidate("i-1", can_load=False, has_model=has_model)
    full = candidate("i-2", can_load=False, requests=128.0, accepts_load_orders=True)
    assert choose_engine(copy_key(), SIZE, [idle]).lacks_owner
    assert choose_engine(copy_key(), SIZE, [idle, full]).lacks_owner
    assert not choose_engine(copy_key(), SIZE, [full]).lacks_owner
    owned = candidate("i-3", can_load=False, accepts_load_orders=True)
    assert not choose_engine(copy_key(), SIZE, [idle, owned]).lacks_owner


def test_no_engine_is_reported_without_candidates() -> None:
    assert choose_engine(copy_key(), SIZE, []).action is EngineAction.NO_ENGINE


def test_burst_for_a_few_adapters_is_spread_over_the_engines() -> None:
    """Simulate 180 requests for 12 adapters on 9 engines.

    The longest queue must stay below twice the mean.
    """
    rng = random.Random(7)
    pending = {f"i-{n}": 0.0 for n in range(9)}
    holders = {f"a{k}": rng.sample(sorted(pending), 3) for k in range(12)}
    for _ in range(180):
        adapter = f"a{min(11, int(rng.expovariate(0.5)))}"
        engines = [
            candidate(
                server,
                pending_prefill_tokens=tokens,
                copy=CopyState.READY if server in holders[adapter] else None,
            )
            for server, tokens in pending.items()
        ]
        found = choose_engine(copy_key(adapter), SIZE, engines)
        assert found.server is not None
        if found.action is EngineAction.LOAD:
            holders[adapter].append(found.server)
        pending[found.server] += 650
    mean = sum(pending.values()) / len(pending)
    assert max(pending.values()) < 2 * mean


_ENGINES = st.lists(
    st.builds(
        candidate,
        st.sampled_from([f"i-{number}" for number in range(6)]),
        requests=st.floats(0.0, 140.0),
        pending_prefill_tokens=st.floats(0.0, 9_000.0),
        tokens=st.floats(0.0, 150_000.0),
        copy=st.sampled_from([None, *CopyState]),
        can_load=st.booleans(),
        accepts_load_orders=st.booleans(),
        is_warm=st.booleans(),
        has_model=st.booleans(),
    ),
    min_size=1,
    unique_by=lambda item: item.server,
)


@given(_ENGINES)
def test_engines_whose_batch_is_full_change_no_choice(
    engines: list[EngineCandidate],
) -> None:
    others = [e for e in engines if not is_batch_full(e.requests, e.batch_size)]
    found = choose_engine(copy_key(), SIZE, engines)
    if others:
        assert found == choose_engine(copy_key(), SIZE, others)
    else:
        assert found.action is EngineAction.WAIT
