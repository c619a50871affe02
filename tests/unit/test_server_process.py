"""Check what connections tell about the process of a server."""

import math

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.network.http1.server_process import ServerProcess

# Longer than the shortest restart that is allowed for.
_DOWN_SECONDS = 0.11
_steps = st.lists(
    st.tuples(
        st.floats(0.001, 2.0),
        st.sampled_from(["open", "use", "restart"]),
        st.integers(0, 9),
    ),
    max_size=60,
)


def test_a_new_connection_leads_to_a_process_that_may_have_just_started() -> None:
    process = ServerProcess()
    assert process.note_alive(1.0, 1.0, now=5.0) == 1.0
    assert process.running_since(5.09) == 1.0
    assert process.running_since(6.0) == 6.0


def test_use_of_an_older_connection_shows_that_the_process_is_the_same() -> None:
    process = ServerProcess()
    process.note_alive(6.0, 6.0, now=6.5)
    process.note_alive(3.0, 1.0, now=7.0)
    assert process.running_since(6.0) == 1.0
    assert process.running_since(7.5) == 7.5


def test_nothing_is_known_of_connections_from_before_another_start() -> None:
    process = ServerProcess()
    process.note_alive(1.0, 1.0, now=5.0)
    process.reset(now=8.0)
    assert process.note_alive(1.0, 1.0, now=8.1) == math.inf
    assert process.running_since(1.0) == math.inf
    assert process.running_since(8.05) == 8.05


@given(_steps)
def test_a_process_is_never_taken_to_have_started_earlier_than_it_did(
    steps: list[tuple[float, str, int]],
) -> None:
    process = ServerProcess()
    now = started_at = 1.0
    connections: list[tuple[float, float]] = []
    for pause, action, choice in steps:
        now += pause
        if action == "restart":
            connections.clear()
            now = started_at = now + _DOWN_SECONDS
        elif action == "open":
            connections.append((now, process.running_since(now)))
        elif connections:
            number = choice % len(connections)
            opened_at, since = connections[number]
            connections[number] = opened_at, process.note_alive(opened_at, since, now)
        assert all(since >= started_at for _, since in connections)
