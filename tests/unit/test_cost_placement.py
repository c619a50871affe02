"""Choose the server where work starts first."""

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.server_view import ServerView
from gooseberrydeal._internal.policy.cost_placement import CostPlacement
from tests.lib.builders import adapter_ref, placement_query, server_view

_POLICY = CostPlacement(0.25)
_LOADED = frozenset({adapter_ref()})


def test_a_loaded_copy_is_preferred() -> None:
    servers = [server_view("s1"), server_view("s2", ready=_LOADED)]
    placed = _POLICY.choose(placement_query(), servers)
    assert placed is not None
    assert placed.server == "s2"
    assert not placed.needs_load


def test_a_copy_is_added_when_the_first_is_behind_by_more_than_a_load() -> None:
    servers = [
        server_view("s1"),
        server_view("s2", ready=_LOADED, running=8, queued=9, wait_seconds=2.0),
    ]
    placed = _POLICY.choose(placement_query(), servers)
    assert placed is not None
    assert placed.server == "s1"
    assert placed.needs_load


def test_no_copy_is_added_while_the_weight_store_is_behind() -> None:
    servers = [
        server_view("s1"),
        server_view("s2", ready=_LOADED, running=8, queued=9, wait_seconds=2.0),
    ]
    placed = _POLICY.choose(placement_query(load_wait_seconds=5.0), servers)
    assert placed is not None
    assert placed.server == "s2"


def test_a_load_in_progress_is_joined() -> None:
    servers = [server_view("s1"), server_view("s2", loading=_LOADED, running=2)]
    placed = _POLICY.choose(placement_query(), servers)
    assert placed is not None
    assert placed.server == "s2"


def test_the_cheapest_eviction_is_taken() -> None:
    servers = [
        server_view("s1", victim_demand=3.0),
        server_view("s2", victim_demand=0.0),
    ]
    placed = _POLICY.choose(placement_query(), servers)
    assert placed is not None
    assert placed.server == "s2"


def test_servers_whose_slots_are_all_used_take_no_load() -> None:
    assert (
        _POLICY.choose(placement_query(), [server_view("s1", victim_demand=None)])
        is None
    )


def test_a_slowed_server_is_avoided_but_not_given_up() -> None:
    slow = server_view("s1", ready=_LOADED, slowdown=10.0)
    busy = server_view("s2", ready=_LOADED, running=8, queued=2, wait_seconds=0.3)
    placed = _POLICY.choose(placement_query(), [slow, busy])
    assert placed is not None
    assert placed.server == "s2"
    alone = _POLICY.choose(placement_query(), [slow])
    assert alone is not None


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
