"""Break each guard on purpose and see that a check notices."""

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
from gooseberrydeal._internal.policy import permit_pool, retry_rules
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
from tests.unit import (
    test_configuration,
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


def _any_idle(self: SlotTable, copy: Any) -> bool:
    return copy.state is CopyState.READY


def _always_retry(refusal: Refusal, *, is_repeatable: bool, delivered: int) -> Any:
    return retry_rules._RETRIES.get(refusal.reason)


def _adopt_at_once(self: Any, epoch: int, share: int) -> None:
    self._epoch = epoch
    self._own = [Permit(0.0) for _ in range(share)]


def _repeat(request: Any, result: Any) -> ClaimReply:
    return ClaimReply(request.number, ClaimStatus.GRANTED.value)


async def _always_gone(self: Any, before: Any, hosts: Any) -> bool:
    return True


def _machine(machine: Any) -> Check:
    return lambda: run_state_machine_as_test(machine)


async def _at_once(engine: Any, request_id: Any, clock: Any) -> None:
    return


def _held_copy() -> None:
    name = "test_a_copy_is_held_until_an_abandoned_request_has_left_the_engine"
    getattr(test_engine_faults, name)()


def _lost_claim() -> None:
    test_claim_faults.test_faults_of_the_claim_write_never_double_or_lie(
        StoreFault.LATE_WRITE, 3
    )


_GUARDS: list[tuple[str, Any, str, Any, Check]] = [
    (
        "use and reservation forbid eviction",
        SlotTable,
        "_is_evictable",
        _any_idle,
        test_slot_table.test_a_late_end_of_use_does_not_count_for_a_new_copy_of_the_name,
    ),
    (
        "a permit rests for a window",
        permit_pool,
        "WINDOW_SECONDS",
        0.5,
        test_permit_pool.test_a_permit_is_used_once_a_window,
    ),
    (
        "new permits wait for all members",
        permit_pool.PermitPool,
        "adopt",
        _adopt_at_once,
        test_permit_pool.test_new_permits_wait_until_they_are_confirmed,
    ),
    (
        "older revisions are not taken",
        ConfigurationFollower,
        "classify",
        lambda self, offer: OfferStatus.NEWER,
        _machine(test_configuration.FollowerMachine),
    ),
    (
        "chunks are known by their digest",
        ConfigurationFollower,
        "add",
        lambda self, chunks: True,
        test_configuration.test_a_forged_chunk_is_not_taken,
    ),
    (
        "frames are numbered",
        AnswerCheck,
        "accept",
        lambda self, frame: True,
        test_small_policies.test_missing_doubled_and_swapped_frames_are_noticed,
    ),
    (
        "work that may have run is not repeated",
        work_runner,
        "retry_reason",
        _always_retry,
        test_claim_faults.test_work_without_a_key_is_sent_once_at_most,
    ),
    (
        "old work goes first",
        WorkQueue,
        "_oldest_aged",
        lambda self, now, eligible: None,
        test_work_queue.test_old_work_goes_before_a_heavier_class,
    ),
    (
        "suspects are refused after two servers",
        CrashSuspects,
        "handling_of",
        lambda self, fingerprint, now: SuspectHandling.NONE,
        test_engine_faults.test_a_request_that_crashes_engines_is_refused_after_two,
    ),
    (
        "foreign copies wait until their owner is gone",
        ownership.Ownership,
        "_is_gone",
        _always_gone,
        test_ownership_faults.test_copies_of_a_paused_owner_stay_foreign_until_it_is_gone,
    ),
    (
        "a refused claim is given back",
        claim_writer.ClaimWriter,
        "_void",
        lambda self, batch: _nothing(),
        _lost_claim,
    ),
    (
        "abandoned requests are waited for",
        engine_backend,
        "cancel_until_ended",
        _at_once,
        _held_copy,
    ),
    (
        "keys are bound to their bodies",
        claim_writer,
        "_reply",
        _repeat,
        test_claim_faults.test_a_key_with_another_body_is_refused,
    ),
]


async def _nothing() -> None:
    return


@pytest.mark.parametrize("guard", _GUARDS, ids=lambda guard: guard[0])
def test_a_test_notices_each_broken_guard(
    guard: tuple[str, Any, str, Any, Check],
) -> None:
    _, owner, name, value, check = guard
    with _replaced(owner, name, value), pytest.raises(AssertionError):
        check()
