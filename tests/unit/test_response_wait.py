"""Check when a response of a silent server is given up."""

import asyncio
from typing import cast

import pytest

from gooseberrydeal._internal.operations.router.attempt import (
    SILENCE_RESOLUTION_SECONDS,
    Attempt,
)
from gooseberrydeal._internal.operations.router.attempt_outcome import AttemptOutcome
from gooseberrydeal._internal.operations.router.response_wait import ResponseWait
from tests.lib.routing_builders import route
from tests.lib.virtual_loop import run_virtual

_ROUTE = route(target_latency=0.2)
_ANSWER_SECONDS = 4.0


class _SilentAttempt:
    """Stand in for an attempt whose response ends after a long silence."""

    def __init__(self, *, has_begun: bool, answer_seconds: float) -> None:
        self._has_begun = has_begun
        self._answer_seconds = answer_seconds
        self.reason = ""
        self.silent_since = asyncio.get_running_loop().time()

    @property
    def has_begun(self) -> bool:
        """Return whether the reply has begun, which it has not at the send."""
        return self._has_begun and self.silent_seconds > 0.0

    @property
    def silent_seconds(self) -> float:
        return asyncio.get_running_loop().time() - self.silent_since

    @property
    def is_ended(self) -> bool:
        return self.silent_seconds >= self._answer_seconds - SILENCE_RESOLUTION_SECONDS

    async def outcome_unless_silent(self, seconds: float) -> AttemptOutcome | None:
        until = min(seconds, self._answer_seconds)
        await asyncio.sleep(max(0.0, until - self.silent_seconds))
        return AttemptOutcome.SERVED if self.is_ended else None

    def give_up(self, reason: str) -> AttemptOutcome:
        self.reason = reason
        return AttemptOutcome.CUT


def _wait(
    *,
    has_begun: bool,
    has_other: bool = False,
    is_gone: bool = False,
    answer_seconds: float = _ANSWER_SECONDS,
) -> tuple[AttemptOutcome, float, list[float]]:
    """Return the outcome, after how many seconds, and when the server was checked."""

    async def scenario() -> tuple[AttemptOutcome, float, list[float]]:
        attempt = _SilentAttempt(has_begun=has_begun, answer_seconds=answer_seconds)
        checks: list[float] = []

        async def check(since: float) -> bool:
            checks.append(round(attempt.silent_seconds, 3))
            await asyncio.sleep(0.4 if is_gone else 0.0)
            return is_gone

        wait = ResponseWait(cast(Attempt, attempt), _ROUTE, lambda: has_other, check)
        outcome = await wait.outcome()
        return outcome, round(attempt.silent_seconds, 3), checks

    return run_virtual(scenario())


@pytest.mark.parametrize("has_begun", [False, True])
def test_another_server_takes_over_after_twice_the_target_latency(
    has_begun: bool,
) -> None:
    outcome, seconds, _ = _wait(has_begun=has_begun, has_other=True)
    assert (outcome, seconds) == (AttemptOutcome.CUT, 0.4)


@pytest.mark.parametrize("has_begun", [False, True])
def test_a_response_that_no_server_takes_over_is_waited_for(has_begun: bool) -> None:
    """LOST: responses of sound servers were cut after such a silence."""
    outcome, seconds, _ = _wait(has_begun=has_begun)
    assert (outcome, seconds) == (AttemptOutcome.SERVED, _ANSWER_SECONDS)


def test_a_reply_of_a_server_that_is_gone_ends_before_the_timeout() -> None:
    """The server is checked soon, but may not accept connections for a second."""
    outcome, seconds, checks = _wait(has_begun=True, is_gone=True)
    assert outcome is AttemptOutcome.CUT
    assert checks[0] == 0.2
    assert 1.5 <= seconds < _ANSWER_SECONDS


def test_a_server_is_not_checked_before_the_reply_has_begun() -> None:
    """Silence before the reply is watched for all requests of a server at once."""
    assert _wait(has_begun=False, is_gone=True)[2] == []


def test_a_response_that_ends_while_its_server_is_checked_is_whole() -> None:
    """LOST: the last bytes may come while the attempt to connect still lasts."""
    outcome, _, checks = _wait(has_begun=True, is_gone=True, answer_seconds=1.7)
    assert outcome is AttemptOutcome.SERVED
    assert checks[-1] == 1.5
