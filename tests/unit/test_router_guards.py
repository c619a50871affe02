"""Disable each guard of the router in turn and verify that a test then fails."""

from typing import Any

import pytest

from gooseberrydeal._internal.models.routing.known_state import KnownState
from gooseberrydeal._internal.models.routing.owner_claim import OwnerClaim
from gooseberrydeal._internal.operations.router import (
    metadata_follower,
    server_limits,
)
from gooseberrydeal._internal.operations.router.crash_detector import CrashDetector
from gooseberrydeal._internal.operations.router.crash_gossip import CrashGossip
from gooseberrydeal._internal.operations.router.crash_guard import CrashGuard
from gooseberrydeal._internal.operations.router.crash_records import CrashRecords
from gooseberrydeal._internal.operations.router.engine_owner import EngineOwner
from gooseberrydeal._internal.operations.router.known_state_writer import (
    KnownStateWriter,
)
from gooseberrydeal._internal.operations.router.lapsed_hosts import LapsedHosts
from gooseberrydeal._internal.operations.router.limited_engine_orders import (
    LimitedEngineOrders,
)
from gooseberrydeal._internal.operations.router.report_reader import ReportReader
from gooseberrydeal._internal.policy import (
    crash_history,
    limit_division,
    store_trust,
)
from gooseberrydeal._internal.policy.accounts import key_check
from gooseberrydeal._internal.policy.crash_history import CrashHistory
from gooseberrydeal._internal.policy.lost_writes import LostWrites
from gooseberrydeal._internal.policy.recently_cleared import RecentlyCleared
from gooseberrydeal._internal.policy.refusal_trials import RefusalTrials
from tests.functional import (
    test_account_revocation,
    test_crash_detection,
    test_crash_sharing,
    test_limit_division,
    test_lost_writes_record,
    test_owner_changes,
    test_prompt_part_sharing,
    test_start_after_restore,
    test_stated_limits,
    test_store_restored,
)
from tests.lib.guards import Guard, check_is_detected
from tests.unit import test_crash_history


def _drop_the_oldest(self: CrashHistory) -> None:
    while len(self._suspects) > 4096:
        self._drop(next(iter(self._suspects)))


def _ignore(self: Any, *arguments: Any) -> None:
    return


async def _write_nothing(self: KnownStateWriter, wanted: KnownState) -> None:
    return


def _check_start() -> None:
    test_start_after_restore.test_a_host_that_starts_uses_no_older_configuration_than_others(
        0.0
    )


def _check_release() -> None:
    test_crash_detection.test_the_end_of_a_leaving_or_released_server_is_no_crash(
        test_crash_detection._drain
    )


def _check_unread_report() -> None:
    test_owner_changes.test_an_owner_that_cannot_read_a_report_says_nothing_of_the_copies(
        test_owner_changes._kill
    )


def _check_turned_away() -> None:
    test_owner_changes.test_a_host_that_only_the_store_turns_away_still_gets_loads(
        ("h1",)
    )


async def _observe_nothing(self: EngineOwner, now: float) -> None:
    return


_GUARDS: list[Guard] = [
    Guard(
        "an owner that has read no report says nothing of the copies",
        ReportReader,
        "has_read",
        property(lambda self: True),
        _check_unread_report,
    ),
    Guard(
        "an owner follows what its engine holds before its first order",
        EngineOwner,
        "_observe",
        _observe_nothing,
        test_owner_changes.test_a_new_owner_reads_again_what_the_engine_denies_to_hold,
    ),
    Guard(
        "owners answer hosts that only the store turns away",
        LapsedHosts,
        "address",
        lambda self, host: None,
        _check_turned_away,
    ),
    Guard(
        "requests that are served all the time are not refused",
        CrashGuard,
        "note_served",
        _ignore,
        test_crash_sharing.test_a_frequent_innocent_request_is_never_refused,
    ),
    Guard(
        "requests that were served are cleared",
        CrashHistory,
        "note_cleared",
        lambda self, feature: 0,
        test_crash_history.test_a_served_request_starts_anew,
    ),
    Guard(
        "parts of prompts that were answered a while ago are no suspects",
        RecentlyCleared,
        "holds",
        lambda self, feature, now: False,
        test_prompt_part_sharing.test_the_first_part_of_all_prompts_is_not_refused_while_no_engine_is_left,
    ),
    Guard(
        "an answer that has begun clears the parts of its prompt",
        CrashGuard,
        "note_answering",
        _ignore,
        test_prompt_part_sharing.test_a_first_part_that_was_never_answered_is_refused,
    ),
    Guard(
        "one request at a time tests whether a refused part still crashes servers",
        RefusalTrials,
        "admits",
        lambda self, *arguments: True,
        test_prompt_part_sharing.test_one_request_at_a_time_tests_a_part_after_its_refusal,
    ),
    Guard(
        "requests beside the one that crashes servers are not refused",
        crash_history,
        "find_causes",
        lambda features: frozenset(item.feature for item in features),
        test_crash_history.test_a_request_beside_a_stronger_suspect_is_not_refused,
    ),
    Guard(
        "hosts that are cut off from each other learn of crashes from the store",
        CrashRecords,
        "note_evidence",
        _ignore,
        test_crash_sharing.test_failure_domains_cut_off_from_each_other_learn_through_the_store,
    ),
    Guard(
        "restarted hosts read which requests crash servers",
        CrashRecords,
        "apply",
        _ignore,
        test_crash_sharing.test_a_restarted_host_knows_what_was_refused_before_it_was_killed,
    ),
    Guard(
        "evidence of crashes is repeated",
        CrashGossip,
        "_repeat",
        _ignore,
        test_crash_sharing.test_hosts_that_missed_the_datagrams_learn_by_repetition,
    ),
    Guard(
        "a flood of suspects displaces no refused request",
        CrashHistory,
        "_enforce_limit",
        _drop_the_oldest,
        test_crash_history.test_a_flood_of_suspects_displaces_no_refused_request,
    ),
    Guard(
        "a server's limit is divided among the hosts",
        server_limits,
        "own_rate",
        lambda limit, own, members, demands: (limit, 1.0),
        test_limit_division.test_hosts_that_are_cut_off_from_each_other_keep_to_the_limit,
    ),
    Guard(
        "hosts that cannot keep small shares do not use a server",
        limit_division,
        "_EXTRA_MEMBERS",
        1000,
        lambda: test_limit_division.check_limit(0.3, hosts=60),
    ),
    Guard(
        "orders count under the limits of engines",
        LimitedEngineOrders,
        "_take",
        lambda self, entry: True,
        test_stated_limits.test_orders_and_reports_count_under_an_engines_limit,
    ),
    Guard(
        "the end of a leaving server is no crash",
        CrashDetector,
        "_is_in_service",
        lambda self, record: True,
        _check_release,
    ),
    Guard(
        "owner records of an earlier epoch of the store do not count",
        OwnerClaim,
        "is_stale",
        False,
        test_store_restored.test_an_owner_that_the_copy_names_waits_for_a_later_one_that_is_gone,
    ),
    Guard(
        "hosts write back what a restored store lost",
        KnownStateWriter,
        "_write",
        _write_nothing,
        _check_start,
    ),
    Guard(
        "a host that starts waits until the store's epoch is settled",
        store_trust,
        "CONFIRMATION_SECONDS",
        0.0,
        _check_start,
    ),
    Guard(
        "servers that left before a restoration are left out",
        LostWrites,
        "is_departed",
        lambda self, server, started_at: False,
        test_lost_writes_record.test_a_server_that_left_is_not_used_by_a_host_that_starts,
    ),
    Guard(
        "an engine that registers again may have had an owner",
        metadata_follower,
        "REREGISTRATION_SECONDS",
        0.0,
        test_start_after_restore.test_an_engine_that_registers_again_is_not_taken_for_one_without_owner,
    ),
    Guard(
        "a known key needs a recent proof",
        key_check,
        "has_lapsed",
        lambda age, bounds: False,
        test_account_revocation.test_a_host_that_was_suspended_asks_the_store_before_it_admits_a_key,
    ),
    Guard(
        "a restored store confirms no key before its epoch is settled",
        store_trust.StoreTrust,
        "is_confirmed",
        True,
        test_account_revocation.test_a_store_restored_from_an_older_copy_brings_no_key_back,
    ),
]


@pytest.mark.parametrize("guard", _GUARDS, ids=lambda guard: guard.description)
def test_each_disabled_guard_is_detected_by_a_test(guard: Guard) -> None:
    check_is_detected(guard)
