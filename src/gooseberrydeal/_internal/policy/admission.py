"""Decide whether waiting for a server is of use."""

from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.refusal_reason import RefusalReason

_DEADLINE_PART: Final = 0.25
_LOAD_DEADLINE_PART: Final = 0.5
_LEAST_RETRY_SECONDS: Final = 0.5


@dataclass(frozen=True, slots=True)
class Admission:
    """Say whether work is taken, or why not and when to come back."""

    is_admitted: bool
    reason: RefusalReason | None = None
    retry_after: float = 0.0


def admit(
    predicted_wait: float, deadline_left: float, *, needs_load: bool = False
) -> Admission:
    """Take work only if it is expected to start well before its deadline.

    A part of the deadline is left for what the prediction can't know, so that
    admitted work still meets it when the queue is at its fullest. A load's time is
    known better than a queue's, and holds no server while it is waited for.
    """
    if deadline_left <= 0:
        return Admission(False, RefusalReason.DEADLINE)
    part = _LOAD_DEADLINE_PART if needs_load else _DEADLINE_PART
    allowed = deadline_left * part
    if predicted_wait <= allowed:
        return Admission(True)
    surplus = predicted_wait - allowed
    return Admission(
        False, RefusalReason.OVERLOADED, max(_LEAST_RETRY_SECONDS, surplus)
    )
