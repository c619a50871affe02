"""Disable each guard in turn and verify that a test then fails."""

from typing import Any

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
from gooseberrydeal._internal.policy import (
    permit_pool,
    retry_rules,
)
from gooseberrydeal._internal.policy.answer_check import AnswerCheck
from gooseberrydeal._internal.policy.configuration_follower import (
    ConfigurationFollower,
    OfferStatus,
)
from gooseberrydeal._internal.policy.crash_suspects import (
    CrashSuspects,
    SuspectHandling,
)
from gooseberrydeal._internal.policy.slot_table import SlotTable
from gooseberrydeal._internal.policy.work_queue import WorkQueue
from tests.functional import (
    test_claim_faults,
    test_engine_faults,
    test_ownership_faults,
)
from tests.lib.fake_store import StoreFault
from tests.lib.guards import Check, Guard, check_is_detected
from tests.unit import (
    test_configuration,
    test_permit_pool,
    test_slot_table,
    test_small_policies,
    test_work_queue,
)


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


_GUARDS: list[Guard] = [
    Guard(
        "copies in use or reserved are not evicted",
        SlotTable,
        "_is_evictable",
        _is_ready,
        test_slot_table.test_late_end_of_use_does_not_affect_a_new_copy_of_that_name,
    ),
    Guard(
        "a permit is not reused within its window",
        permit_pool,
        "WINDOW_SECONDS",
        0.5,
        test_permit_pool.test_permit_is_used_at_most_once_per_window,
    ),
    Guard(
        "new permits are unusable until all members confirm",
        permit_pool.PermitPool,
        "adopt",
        _adopt_usable_permits,
        test_permit_pool.test_new_permits_are_unusable_until_confirmed,
    ),
    Guard(
        "older revisions are ignored",
        ConfigurationFollower,
        "classify",
        lambda self, offer: OfferStatus.NEWER,
        _state_machine_check(test_configuration.FollowerMachine),
    ),
    Guard(
        "chunks are identified by their digest",
        ConfigurationFollower,
        "add",
        lambda self, chunks: True,
        test_configuration.test_chunk_with_a_wrong_digest_is_not_activated,
    ),
    Guard(
        "frames are accepted in order only",
        AnswerCheck,
        "accept",
        lambda self, frame: True,
        test_small_policies.test_missing_repeated_and_reordered_frames_are_rejected,
    ),
    Guard(
        "work that may have run is not repeated",
        work_runner,
        "retry_reason",
        _always_retry,
        test_claim_faults.test_a_request_without_a_key_is_sent_at_most_once,
    ),
    Guard(
        "aged work starts first",
        WorkQueue,
        "_oldest_aged",
        lambda self, now, eligible: None,
        test_work_queue.test_aged_work_starts_before_work_of_a_heavier_class,
    ),
    Guard(
        "crash suspects are refused after two servers",
        CrashSuspects,
        "handling_of",
        lambda self, fingerprint, now: SuspectHandling.NONE,
        test_engine_faults.test_a_request_that_crashes_engines_is_refused_after_two,
    ),
    Guard(
        "foreign copies are kept until their owner is gone",
        ownership.Ownership,
        "_is_gone",
        _always_gone,
        test_ownership_faults.test_copies_of_a_paused_owner_stay_foreign_until_it_is_gone,
    ),
    Guard(
        "a refused claim is voided",
        claim_writer.ClaimWriter,
        "_void",
        lambda self, batch: _do_nothing(),
        _check_late_claim_write,
    ),
    Guard(
        "an abandoned request is awaited until it ends",
        engine_backend,
        "cancel_until_ended",
        _return_at_once,
        _check_copy_of_an_abandoned_request,
    ),
    Guard(
        "idempotency keys are bound to request bodies",
        claim_writer,
        "_reply",
        _always_grant,
        test_claim_faults.test_a_key_with_another_body_is_refused,
    ),
]


async def _do_nothing() -> None:
    return


@pytest.mark.parametrize("guard", _GUARDS, ids=lambda guard: guard.description)
def test_each_disabled_guard_is_detected_by_a_test(guard: Guard) -> None:
    check_is_detected(guard)
