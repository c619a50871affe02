"""Disable each guard in turn and verify that a test then fails."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

import pytest
from hypothesis.stateful import run_state_machine_as_test

from gooseberrydeal._internal.models.claim_verdict import ClaimStatus
from gooseberrydeal._internal.models.copy_state import CopyState
from gooseberrydeal._internal.models.messages.claim_reply import ClaimReply
from gooseberrydeal._internal.models.permit import Permit
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.operations.entry import work_runner
from gooseberrydeal._internal.operations.keeper import (
    claim_writer,
    engine_backend,
    ownership,
)
from gooseberrydeal._internal.operations.router import server_limits
from gooseberrydeal._internal.operations.router.crash_detector import CrashDetector
from gooseberrydeal._internal.operations.router.crash_gossip import CrashGossip
from gooseberrydeal._internal.operations.router.crash_guard import CrashGuard
from gooseberrydeal._internal.operations.router.crash_records import CrashRecords
from gooseberrydeal._internal.operations.router.limited_engine_orders import (
    LimitedEngineOrders,
)
from gooseberrydeal._internal.policy import (
    crash_history,
    limit_division,
    permit_pool,
    retry_rules,
)
from gooseberrydeal._internal.policy.answer_check import AnswerCheck
from gooseberrydeal._internal.policy.configuration_follower import (
    ConfigurationFollower,
    OfferStatus,
)
from gooseberrydeal._internal.policy.crash_history import CrashHistory
from gooseberrydeal._internal.policy.crash_suspects import (
    CrashSuspects,
    SuspectHandling,
)
from gooseberrydeal._internal.policy.recently_cleared import RecentlyCleared
from gooseberrydeal._internal.policy.refusal_trials import RefusalTrials
from gooseberrydeal._internal.policy.slot_table import SlotTable
from gooseberrydeal._internal.policy.work_queue import WorkQueue
from tests.functional import (
    test_claim_faults,
    test_crash_detection,
    test_crash_sharing,
    test_engine_faults,
    test_limit_division,
    test_ownership_faults,
    test_prompt_part_sharing,
    test_stated_limits,
)
from tests.lib.fake_store import StoreFault
from tests.unit import (
    test_configuration,
    test_crash_history,
    test_permit_pool,
    test_slot_table,
    test_small_policies,
    test_work_queue,
)

Check = Callable[[], None]


@contextmanager
def _replaced(owner: Any, name: str, value: Any) -> Iterator[None]:
    with patch.object(owner, name, value):
        yield


def _is_ready(self: SlotTable, copy: Any) -> bool:
    return copy.state is CopyState.READY


def _always_retry(refusal: Refusal, *, is_repeatable: bool, delivered: int) -> Any:
    return retry_rules._RETRIES.get(refusal.reason)


def _adopt_usable_permits(self: Any, epoch: int, share: int) -> None:
    self._epoch = epoch
    self._own = [Permit(0.0) for _ in range(share)]


def _always_grant(request: Any, result: Any) -> ClaimReply:
    return ClaimReply(request.number, ClaimStatus.GRANTED.value)


async def _always_gone(self: Any, before: Any, hosts: Any) -> bool:
    return True


def _state_machine_check(machine: Any) -> Check:
    return lambda: run_state_machine_as_test(machine)


async def _return_at_once(engine: Any, request_id: Any, clock: Any) -> None:
    return


def _check_copy_of_an_abandoned_request() -> None:
    name = "test_a_copy_is_held_until_an_abandoned_request_has_left_the_engine"
    getattr(test_engine_faults, name)()


def _check_late_claim_write() -> None:
    test_claim_faults.test_faults_of_the_claim_write_cause_no_second_run_or_wrong_outcome(
        StoreFault.LATE_WRITE, 3
    )


def _drop_the_oldest(self: CrashHistory) -> None:
    while len(self._suspects) > 4096:
        self._drop(next(iter(self._suspects)))


def _ignore(self: Any, *arguments: Any) -> None:
    return


def _check_release() -> None:
    test_crash_detection.test_the_end_of_a_leaving_or_released_server_is_no_crash(
        test_crash_detection._drain
    )


# For each guard: a description, the object and the attribute to replace, the
# replacement, and a test that must fail with it.
_GUARDS: list[tuple[str, Any, str, Any, Check]] = [
    (
        "copies in use or reserved are not evicted",
        SlotTable,
        "_is_evictable",
        _is_ready,
        test_slot_table.test_late_end_of_use_does_not_affect_a_new_copy_of_that_name,
    ),
    (
        "a permit is not reused within its window",
        permit_pool,
        "WINDOW_SECONDS",
        0.5,
        test_permit_pool.test_permit_is_used_at_most_once_per_window,
    ),
    (
        "new permits are unusable until all members confirm",
        permit_pool.PermitPool,
        "adopt",
        _adopt_usable_permits,
        test_permit_pool.test_new_permits_are_unusable_until_confirmed,
    ),
    (
        "older revisions are ignored",
        ConfigurationFollower,
        "classify",
        lambda self, offer: OfferStatus.NEWER,
        _state_machine_check(test_configuration.FollowerMachine),
    ),
    (
        "chunks are identified by their digest",
        ConfigurationFollower,
        "add",
        lambda self, chunks: True,
        test_configuration.test_chunk_with_a_wrong_digest_is_not_activated,
    ),
    (
        "frames are accepted in order only",
        AnswerCheck,
        "accept",
        lambda self, frame: True,
        test_small_policies.test_missing_repeated_and_reordered_frames_are_rejected,
    ),
    (
        "work that may have run is not repeated",
        work_runner,
        "retry_reason",
        _always_retry,
        test_claim_faults.test_a_request_without_a_key_is_sent_at_most_once,
    ),
    (
        "aged work starts first",
        WorkQueue,
        "_oldest_aged",
        lambda self, now, eligible: None,
        test_work_queue.test_aged_work_starts_before_work_of_a_heavier_class,
    ),
    (
        "crash suspects are refused after two servers",
        CrashSuspects,
        "handling_of",
        lambda self, fingerprint, now: SuspectHandling.NONE,
        test_engine_faults.test_a_request_that_crashes_engines_is_refused_after_two,
    ),
    (
        "requests that were served are cleared",
        CrashHistory,
        "note_cleared",
        lambda self, feature: 0,
        test_crash_history.test_a_served_request_starts_anew,
    ),
    (
        "parts of prompts that were answered a while ago are no suspects",
        RecentlyCleared,
        "holds",
        lambda self, feature, now: False,
        test_prompt_part_sharing.test_the_first_part_of_all_prompts_is_not_refused_while_no_engine_is_left,
    ),
    (
        "an answer that has begun clears the parts of its prompt",
        CrashGuard,
        "note_answering",
        _ignore,
        test_prompt_part_sharing.test_a_first_part_that_was_never_answered_is_refused,
    ),
    (
        "one request at a time tests whether a refused part still crashes servers",
        RefusalTrials,
        "admits",
        lambda self, *arguments: True,
        test_prompt_part_sharing.test_one_request_at_a_time_tests_a_part_after_its_refusal,
    ),
    (
        "requests beside the one that crashes servers are not refused",
        crash_history,
        "find_causes",
        lambda features: frozenset(item.feature for item in features),
        test_crash_history.test_a_request_beside_a_stronger_suspect_is_not_refused,
    ),
    (
        "hosts that are cut off from each other learn of crashes from the store",
        CrashRecords,
        "note_evidence",
        _ignore,
        test_crash_sharing.test_failure_domains_cut_off_from_each_other_learn_through_the_store,
    ),
    (
        "restarted hosts read which requests crash servers",
        CrashRecords,
        "apply",
        _ignore,
        test_crash_sharing.test_a_restarted_host_knows_what_was_refused_before_it_was_killed,
    ),
    (
        "evidence of crashes is repeated",
        CrashGossip,
        "_repeat",
        _ignore,
        test_crash_sharing.test_hosts_that_missed_the_datagrams_learn_by_repetition,
    ),
    (
        "a flood of suspects displaces no refused request",
        CrashHistory,
        "_enforce_limit",
        _drop_the_oldest,
        test_crash_history.test_a_flood_of_suspects_displaces_no_refused_request,
    ),
    (
        "a server's limit is divided among the hosts",
        server_limits,
        "own_rate",
        lambda limit, own, members, demands: (limit, 1.0),
        test_limit_division.test_hosts_that_are_cut_off_from_each_other_keep_to_the_limit,
    ),
    (
        "hosts that cannot keep small shares do not use a server",
        limit_division,
        "_EXTRA_MEMBERS",
        1000,
        lambda: test_limit_division.check_limit(0.3, hosts=60),
    ),
    (
        "orders count under the limits of engines",
        LimitedEngineOrders,
        "_take",
        lambda self, entry: True,
        test_stated_limits.test_orders_and_reports_count_under_an_engines_limit,
    ),
    (
        "the end of a leaving server is no crash",
        CrashDetector,
        "_is_in_service",
        lambda self, record: True,
        _check_release,
    ),
    (
        "foreign copies are kept until their owner is gone",
        ownership.Ownership,
        "_is_gone",
        _always_gone,
        test_ownership_faults.test_copies_of_a_paused_owner_stay_foreign_until_it_is_gone,
    ),
    (
        "a refused claim is voided",
        claim_writer.ClaimWriter,
        "_void",
        lambda self, batch: _do_nothing(),
        _check_late_claim_write,
    ),
    (
        "an abandoned request is awaited until it ends",
        engine_backend,
        "cancel_until_ended",
        _return_at_once,
        _check_copy_of_an_abandoned_request,
    ),
    (
        "idempotency keys are bound to request bodies",
        claim_writer,
        "_reply",
        _always_grant,
        test_claim_faults.test_a_key_with_another_body_is_refused,
    ),
]


async def _do_nothing() -> None:
    return


@pytest.mark.parametrize("guard", _GUARDS, ids=lambda guard: guard[0])
def test_each_disabled_guard_is_detected_by_a_test(
    guard: tuple[str, Any, str, Any, Check],
) -> None:
    _, owner, name, value, check = guard
    with _replaced(owner, name, value), pytest.raises(AssertionError):
        check()
