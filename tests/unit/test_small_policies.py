"""Test demand, admission, retries, crash suspects, backoff, pace, limits and keys."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.messages.finished import Finished
from gooseberrydeal._internal.models.messages.tokens import Tokens
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.policy.admission import admit
from gooseberrydeal._internal.policy.answer_check import AnswerCheck
from gooseberrydeal._internal.policy.crash_suspects import (
    CrashSuspects,
    SuspectHandling,
)
from gooseberrydeal._internal.policy.demand import DemandTracker
from gooseberrydeal._internal.policy.idempotency_key import (
    IdempotencyKey,
    KeyFault,
    parse_idempotency_key,
)
from gooseberrydeal._internal.policy.load_failures import LoadFailures
from gooseberrydeal._internal.policy.pace_tracker import LatencyTracker
from gooseberrydeal._internal.policy.rate_limiter import RateLimiter
from gooseberrydeal._internal.policy.retry_budget import RetryBudget
from gooseberrydeal._internal.policy.retry_rules import retry_reason
from gooseberrydeal._internal.policy.server_assignment import assign
from tests.lib.builders import adapter_ref


def test_demand_follows_the_request_rate_and_decays() -> None:
    demand = DemandTracker(decay_seconds=20)
    for second in range(60):
        demand.note_request("a", float(second))
    assert 0.8 < demand.rate("a", 60.0) < 1.2
    assert demand.expected_rate("a", 100.0) < 0.01
    assert demand.rate("a", 1000.0) < 0.01
    assert demand.rate("unknown", 0.0) == 0.0


def test_single_request_yields_less_demand_than_a_steady_rate() -> None:
    demand = DemandTracker()
    for second in range(0, 200, 5):
        demand.note_request("steady", float(second))
    demand.note_request("once", 199.0)
    assert demand.rate("steady", 200.0) > demand.rate("once", 200.0)


@given(st.integers(0, 40), st.integers(1, 9))
def test_assignment_is_even_and_whole(servers: int, keepers: int) -> None:
    names = [f"s{n}" for n in range(servers)]
    hosts = [f"h{n}" for n in range(keepers)]
    result = assign(names, hosts)
    assert set(result) == set(names)
    counts = [list(result.values()).count(host) for host in hosts]
    assert max(counts) <= -(-servers // keepers) if servers else True


def test_loss_of_a_keeper_moves_few_servers_of_other_keepers() -> None:
    names = [f"s{n}" for n in range(90)]
    hosts = [f"h{n}" for n in range(9)]
    before = assign(names, hosts)
    after = assign(names, hosts[:-1])
    moved = sum(before[n] != after[n] for n in names if before[n] != "h8")
    assert moved <= 45


def test_admitted_wait_is_limited_to_a_fraction_of_the_deadline() -> None:
    assert admit(0.4, 1.7).is_admitted
    assert not admit(0.45, 1.7).is_admitted
    assert admit(0.8, 1.7, needs_load=True).is_admitted
    assert not admit(0.9, 1.7, needs_load=True).is_admitted
    late = admit(1.6, 1.7)
    assert not late.is_admitted
    assert late.reason is RefusalReason.OVERLOADED
    assert late.retry_after > 0
    assert admit(0.0, 0.0).reason is RefusalReason.DEADLINE


@pytest.mark.parametrize(
    ("ran", "is_repeatable", "delivered", "may_retry"),
    [
        (Ran.NO, False, 0, True),
        (Ran.NO, True, 0, True),
        (Ran.UNKNOWN, True, 0, True),
        (Ran.UNKNOWN, False, 0, False),
        (Ran.YES, True, 0, False),
        (Ran.UNKNOWN, True, 1, False),
        (Ran.NO, True, 1, False),
    ],
)
def test_only_work_that_is_safe_to_repeat_is_retried(
    ran: Ran, is_repeatable: bool, delivered: int, may_retry: bool
) -> None:
    for reason in (RefusalReason.SERVER_FAILED, RefusalReason.OWNER_UNREACHABLE):
        found = retry_reason(
            Refusal(reason, ran), is_repeatable=is_repeatable, delivered=delivered
        )
        assert (found is not None) == may_retry


def test_refusals_that_apply_on_every_server_are_not_retried() -> None:
    for reason in (RefusalReason.CRASH_SUSPECT, RefusalReason.BAD_REQUEST):
        refusal = Refusal(reason, Ran.NO)
        assert retry_reason(refusal, is_repeatable=True, delivered=0) is None


def test_retries_are_limited_to_a_fraction_of_first_attempts() -> None:
    budget = RetryBudget(0.1, 5.0)
    taken = sum(budget.take() for _ in range(100))
    assert taken == 5
    for _ in range(100):
        budget.note_first_attempt()
        taken += budget.take()
    assert taken <= 5 + 10


def test_request_is_refused_after_crashing_two_servers_once_alone() -> None:
    suspects = CrashSuspects()
    suspects.note_crash("bad", "s1", 0.0, was_alone=False)
    assert suspects.handling_of("bad", 1.0) is SuspectHandling.RUN_ALONE
    suspects.note_crash("bad", "s2", 1.0, was_alone=True)
    assert suspects.handling_of("bad", 2.0) is SuspectHandling.REFUSE
    assert suspects.handling_of("bad", 1000.0) is SuspectHandling.NONE


def test_request_that_never_ran_alone_in_a_crash_is_not_refused() -> None:
    suspects = CrashSuspects()
    suspects.note_crash("innocent", "s1", 0.0, was_alone=False)
    suspects.note_crash("innocent", "s2", 0.0, was_alone=False)
    assert suspects.handling_of("innocent", 1.0) is SuspectHandling.RUN_ALONE
    suspects.clear("innocent")
    assert suspects.handling_of("innocent", 1.0) is SuspectHandling.NONE


def test_many_new_suspects_do_not_displace_a_proven_one() -> None:
    suspects = CrashSuspects()
    suspects.note_crash("bad", "s1", 0.0, was_alone=True)
    suspects.note_crash("bad", "s2", 0.0, was_alone=True)
    for number in range(6000):
        suspects.note_crash(f"f{number}", "s1", 1.0, was_alone=False)
    assert suspects.handling_of("bad", 2.0) is SuspectHandling.REFUSE
    assert suspects.count <= 4096


def test_load_backoff_grows_up_to_its_limit() -> None:
    failures = LoadFailures()
    ref = adapter_ref()
    pauses = [failures.note_failure(ref, 0.0, 0.5, is_missing=False) for _ in range(9)]
    assert pauses[0] == 1.0
    assert pauses == sorted(pauses)
    assert pauses[-1] == 60.0
    assert failures.remaining_backoff(ref, 10.0) == 50.0
    failures.note_success(ref)
    assert failures.remaining_backoff(ref, 10.0) == 0.0


def test_stall_is_detected_while_it_lasts() -> None:
    latency = LatencyTracker(baseline_first=0.1, baseline_gap=0.03)
    for number in range(3):
        latency.started(RequestId(f"r{number}"), 0.0)
        latency.progressed(RequestId(f"r{number}"), 1, 0.1)
    assert latency.slowdown(0.12) == 1.0
    assert latency.slowdown(0.4) > 4.0
    for number in range(3):
        latency.progressed(RequestId(f"r{number}"), 1, 0.4)
        latency.ended(RequestId(f"r{number}"), 0.4)
    assert latency.slowdown(0.41) > 2.0
    for second in range(2, 30):
        latency.slowdown(float(second))
    assert latency.slowdown(30.0) == 1.0


def test_requests_that_end_without_a_token_raise_the_slowdown() -> None:
    latency = LatencyTracker(baseline_first=0.1, baseline_gap=0.03)
    for number in range(3):
        latency.started(RequestId(f"r{number}"), float(number))
        latency.ended(RequestId(f"r{number}"), number + 0.9)
    assert latency.slowdown(3.0) > 2.5


def test_server_without_requests_is_not_slow() -> None:
    latency = LatencyTracker(baseline_first=0.1, baseline_gap=0.03)
    latency.set_baseline(0.01, 0.003)
    assert latency.slowdown(100.0) == 1.0


def test_single_stalled_request_among_others_is_ignored() -> None:
    latency = LatencyTracker(baseline_first=0.1, baseline_gap=0.03)
    latency.started(RequestId("r1"), 0.0)
    latency.started(RequestId("r2"), 0.3)
    assert latency.slowdown(0.45) == 1.0


def _frame(number: int, text: str) -> Tokens:
    return Tokens(1, number, 1, text)


def test_missing_repeated_and_reordered_frames_are_rejected() -> None:
    check = AnswerCheck()
    assert check.accept(_frame(0, "a"))
    assert not check.accept(_frame(0, "a"))
    assert not check.accept(_frame(2, "c"))
    assert check.accept(_frame(1, "b"))
    end = Finished(1, "r", 2, 2, check.checksum, "stop")
    assert check.is_complete(end)
    assert not check.is_complete(Finished(1, "r", 3, 2, check.checksum, "stop"))
    assert not check.is_complete(Finished(1, "r", 2, 2, check.checksum + 1, "stop"))
    assert not check.is_complete(Finished(1, "r", 2, 1, check.checksum, "stop"))


def test_rate_limiter_returns_the_seconds_until_the_next_token() -> None:
    limiter = RateLimiter()
    waits = [limiter.try_acquire("c", 2.0, 0.0) for _ in range(6)]
    assert waits[:4] == [0.0] * 4
    assert waits[4] == 0.5
    assert limiter.try_acquire("c", 2.0, 0.6) == 0.0
    assert limiter.try_acquire("d", 2.0, 0.0) == 0.0


def test_idempotency_keys_are_checked_by_their_timestamp() -> None:
    now = 1_780_000_000.0
    assert isinstance(
        parse_idempotency_key("20260528T202640Z-abcdefgh", now, 3600), IdempotencyKey
    )
    assert (
        parse_idempotency_key("20260528T182640Z-abcdefgh", now, 3600)
        is KeyFault.EXPIRED
    )
    assert (
        parse_idempotency_key("20260528T212640Z-abcdefgh", now, 3600)
        is KeyFault.FROM_FUTURE
    )
    assert parse_idempotency_key("x", now, 3600) is KeyFault.MALFORMED


@given(st.text(max_size=90))
def test_any_text_is_a_key_or_a_fault(text: str) -> None:
    assert isinstance(
        parse_idempotency_key(text, 1_780_000_000.0, 3600.0), (IdempotencyKey, KeyFault)
    )


def test_store_keys_differ_between_callers_and_operations() -> None:
    key = IdempotencyKey("20260528T202640Z-abcdefgh", 0.0)
    one = key.store_key("anna", "booking", "redeem")
    assert one != key.store_key("bert", "booking", "redeem")
    assert one != key.store_key("anna", "booking", "transfer")
