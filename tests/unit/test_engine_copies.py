"""Check what a host knows of an engine's adapter copies, status by status."""

from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_status import CopyStatus
from gooseberrydeal._internal.operations.router.engine_copies import EngineCopies
from tests.lib.routing_builders import copy_key

_READY = (CopyStatus(copy_key("a1"), CopyState.READY),)
_LOADING = (CopyStatus(copy_key("a1"), CopyState.LOADING, 0.3),)


def test_time_until_a_copy_is_ready_counts_from_each_status_anew() -> None:
    copies = EngineCopies()
    copies.use_status(_LOADING, 1.0)
    copies.use_status(_LOADING, 2.0)
    assert copies.state(copy_key("a1"), 2.2) is CopyState.LOADING
    assert copies.state(copy_key("a1"), 2.3) is CopyState.READY


def test_a_status_that_repeats_the_last_one_replaces_what_came_between() -> None:
    copies = EngineCopies()
    copies.use_status(_READY, 1.0)
    copies.use_entry([copy_key("a2")], 2.0)
    copies.use_status(_READY, 3.0)
    assert copies.state(copy_key("a1"), 3.0) is CopyState.READY
    assert copies.state(copy_key("a2"), 3.0) is None
    copies.clear()
    assert copies.state(copy_key("a1"), 4.0) is None
    copies.use_status(_READY, 4.0)
    assert copies.state(copy_key("a1"), 4.0) is CopyState.READY


def test_copies_that_are_no_longer_held_load_from_memory() -> None:
    copies = EngineCopies()
    copies.use_status(_READY, 1.0)
    copies.use_status((), 2.0)
    assert copies.state(copy_key("a1"), 2.0) is None
    assert copies.is_warm(copy_key("a1"))


def test_an_entry_does_not_drop_what_the_last_status_listed_a_short_time_ago() -> None:
    # Guards against an entry that is older than the last status of a silent owner, or
    # that lacks an adapter which was being loaded.
    copies = EngineCopies()
    copies.use_status(_READY, 1.0)
    copies.use_entry([copy_key("a2")], 4.0)
    assert copies.state(copy_key("a1"), 4.0) is CopyState.READY
    assert copies.state(copy_key("a2"), 4.0) is CopyState.READY


def test_an_entry_replaces_the_copies_of_earlier_entries() -> None:
    # Guards against copies that add up while a host hears of an engine by entries only.
    copies = EngineCopies()
    copies.use_status(_READY, 1.0)
    copies.use_entry([copy_key("a2")], 4.0)
    copies.use_entry([copy_key("a3")], 5.0)
    assert copies.state(copy_key("a2"), 5.0) is None
    copies.use_entry([copy_key("a3")], 20.0)
    assert copies.state(copy_key("a1"), 20.0) is None
    assert copies.state(copy_key("a3"), 20.0) is CopyState.READY


def test_copies_of_before_a_restart_do_not_come_back_with_an_entry() -> None:
    # Guards against keeping a status of the engine's start before.
    copies = EngineCopies()
    copies.use_status(_READY, 1.0)
    copies.clear()
    copies.use_entry([copy_key("a2")], 2.0)
    assert copies.state(copy_key("a1"), 2.0) is None
