"""Test the choice of a server by queue wait, adapter load and eviction cost."""

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.server_view import ServerView
from gooseberrydeal._internal.policy.cost_placement import CostPlacement
from tests.lib.builders import adapter_ref, placement_query, server_view

_POLICY = CostPlacement(0.25)
_LOADED = frozenset({adapter_ref()})


def test_server_with_the_adapter_loaded_is_preferred() -> None:
    servers = [server_view("s1"), server_view("s2", ready=_LOADED)]
    placed = _POLICY.choose(placement_query(), servers)
    assert placed is not None
    assert placed.server == "s2"
    assert not placed.needs_load


def test_copy_is_added_when_the_queue_wait_exceeds_the_load_time() -> None:
    servers = [
        server_view("s1"),
        server_view("s2", ready=_LOADED, running=8, queued=9, wait_seconds=2.0),
    ]
    placed = _POLICY.choose(placement_query(), servers)
    assert placed is not None
    assert placed.server == "s1"
    assert placed.needs_load


def test_no_copy_is_added_while_loads_queue_at_the_weight_store() -> None:
    servers = [
        server_view("s1"),
        server_view("s2", ready=_LOADED, running=8, queued=9, wait_seconds=2.0),
    ]
    placed = _POLICY.choose(placement_query(load_wait_seconds=5.0), servers)
    assert placed is not None
    assert placed.server == "s2"


def test_server_that_is_loading_the_adapter_is_preferred() -> None:
    servers = [server_view("s1"), server_view("s2", loading=_LOADED, running=2)]
    placed = _POLICY.choose(placement_query(), servers)
    assert placed is not None
    assert placed.server == "s2"


def test_load_goes_where_the_evicted_adapter_has_the_least_demand() -> None:
    servers = [
        server_view("s1", victim_demand=3.0),
        server_view("s2", victim_demand=0.0),
    ]
    placed = _POLICY.choose(placement_query(), servers)
    assert placed is not None
    assert placed.server == "s2"


def test_server_without_an_evictable_copy_is_not_chosen_for_a_load() -> None:
    assert (
        _POLICY.choose(placement_query(), [server_view("s1", victim_demand=None)])
        is None
    )


def test_slow_server_is_chosen_only_without_an_alternative() -> None:
    slow = server_view("s1", ready=_LOADED, slowdown=10.0)
    busy = server_view("s2", ready=_LOADED, running=8, queued=2, wait_seconds=0.3)
    placed = _POLICY.choose(placement_query(), [slow, busy])
    assert placed is not None
    assert placed.server == "s2"
    only_choice = _POLICY.choose(placement_query(), [slow])
    assert only_choice is not None


_VIEWS = st.lists(
    st.builds(
        server_view,
        st.sampled_from([f"s{n}" for n in range(6)]),
        running=st.integers(0, 20),
        queued=st.integers(0, 20),
        wait_seconds=st.floats(0, 5),
        slowdown=st.floats(1, 20),
        victim_demand=st.one_of(st.none(), st.floats(0, 5)),
        ready=st.sampled_from([frozenset(), _LOADED]),
    ),
    unique_by=lambda view: view.server,
)


@given(_VIEWS, st.randoms(use_true_random=False))
def test_all_entries_choose_alike(views: list[ServerView], random: object) -> None:
    shuffled = list(views)
    random.shuffle(shuffled)  # type: ignore[attr-defined]
    assert _POLICY.choose(placement_query(), views) == _POLICY.choose(
        placement_query(), shuffled
    )


@given(_VIEWS, st.sets(st.sampled_from([f"s{n}" for n in range(6)])))
def test_excluded_servers_are_not_chosen(
    views: list[ServerView], excluded: set[str]
) -> None:
    placed = _POLICY.choose(placement_query(excluded=frozenset(excluded)), views)
    assert placed is None or placed.server not in excluded
