"""Decide whether to admit a request, given its predicted wait and deadline."""

from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.refusal_reason import RefusalReason

_MAX_WAIT_FRACTION: Final = 0.25
_MAX_WAIT_FRACTION_WITH_LOAD: Final = 0.5
_MIN_RETRY_AFTER_SECONDS: Final = 0.5


@dataclass(frozen=True, slots=True)
class Admission:
    """Hold an admission decision.

    For a rejected request, ``retry_after`` is the time in seconds after which the
    caller should try again.
    """

    is_admitted: bool
    reason: RefusalReason | None = None
    retry_after: float = 0.0


def admit(
    predicted_wait: float, deadline_left: float, *, needs_load: bool = False
) -> Admission:
    """Admit a request only if it is expected to start well before its deadline.

    The wait may use only a fraction of the remaining time. The rest is a margin for
    prediction errors, so that admitted requests still meet their deadline when the
    queue is full. Requests that need an adapter load get a larger fraction, since
    load times are more predictable than queue times, and a request that waits for a
    load occupies no server.

    Both times are in seconds.
    """
    if deadline_left <= 0:
        return Admission(False, RefusalReason.DEADLINE)
    fraction = _MAX_WAIT_FRACTION_WITH_LOAD if needs_load else _MAX_WAIT_FRACTION
    allowed_wait = deadline_left * fraction
    if predicted_wait <= allowed_wait:
        return Admission(True)
    excess_wait = predicted_wait - allowed_wait
    return Admission(
        False, RefusalReason.OVERLOADED, max(_MIN_RETRY_AFTER_SECONDS, excess_wait)
    )
