"""Check how much a host may hold, and what it closes beyond that."""

import pytest

from gooseberrydeal._internal.policy.host_memory.connection_load import (
    ConnectionLoad,
)
from gooseberrydeal._internal.policy.host_memory.host_budget import (
    CONNECTION_BYTES,
    HostBudget,
)
from gooseberrydeal._internal.policy.host_memory.relief import (
    choose_for_connection,
    choose_for_long,
    choose_for_others,
)

_MEBIBYTE = 1024 * 1024


def test_without_limits_nothing_is_bounded() -> None:
    assert HostBudget.from_limits(None, None) == HostBudget()


@pytest.mark.parametrize("megabytes", [64, 160, 200, 300, 552])
@pytest.mark.parametrize("descriptors", [100, 400, 1_638, 10_250])
def test_budgets_fit_their_limits(megabytes: int, descriptors: int) -> None:
    memory = megabytes * _MEBIBYTE
    budget = HostBudget.from_limits(memory, descriptors)
    inbound = (
        budget.caller_connections + budget.peer_connections + budget.status_connections
    )
    held = budget.long_bytes + budget.other_bytes
    assert held <= memory / 8 or 96 * _MEBIBYTE + 1.5 * held <= memory
    assert inbound <= max((descriptors - 200) / 2, descriptors / 4)
    # Idle connections alone never use up what is there for requests.
    assert inbound * CONNECTION_BYTES <= budget.other_bytes / 4


def test_the_smallest_host_has_room_for_long_bodies_and_hundreds_of_requests() -> None:
    budget = HostBudget.from_limits(160 * _MEBIBYTE, 1_638)
    assert budget.long_bytes >= 4 * _MEBIBYTE
    assert budget.other_bytes >= 500 * 40_000


def _loads() -> dict[str, ConnectionLoad]:
    return {
        "idle": ConnectionLoad(10),
        "short": ConnectionLoad(100, is_receiving=True, stalled=9.0),
        "large": ConnectionLoad(200, is_receiving=True),
        "moving": ConnectionLoad(10, 1_000, is_receiving=True, stalled=1.0),
        "stalled": ConnectionLoad(10, 1_000, is_receiving=True, stalled=3.0),
        "longest": ConnectionLoad(10, 500, is_receiving=True, stalled=4.0),
        "served": ConnectionLoad(500, 1_000),
        "slow": ConnectionLoad(900, unread=4.0),
        "unread": ConnectionLoad(300, unread=6.0),
    }


def test_long_bodies_that_stalled_make_room_and_no_others_do() -> None:
    """Guards against refusing what still arrives, and what a server already has."""
    assert choose_for_long(_loads(), 500) == ["longest"]
    assert choose_for_long(_loads(), 501) == ["longest", "stalled"]
    assert choose_for_long(_loads(), 9_999) == ["longest", "stalled"]


def test_unread_responses_end_before_the_largest_request_is_refused() -> None:
    """Guards against cutting responses that are read slowly."""
    assert choose_for_others(_loads(), 300) == ["unread"]
    assert choose_for_others(_loads(), 9_999) == ["unread", "large", "short"]


def test_a_new_connection_replaces_only_one_that_does_not_progress() -> None:
    loads = _loads()
    assert choose_for_connection(loads) == "short"
    kept = ("idle", "large", "moving", "served", "slow")
    assert choose_for_connection({name: loads[name] for name in kept}) is None
