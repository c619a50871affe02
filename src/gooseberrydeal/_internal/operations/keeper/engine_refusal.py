"""Tell what an engine's refusal means for the request."""

from typing import Final

from gooseberrydeal._internal.exceptions import ServerRefusedError
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason

_OVERLOADED_STATUSES: Final = frozenset({429, 503})
_SERVER_FAULT: Final = 500


def refusal_of(error: ServerRefusedError, *, has_tokens: bool) -> Refusal:
    """Return the refusal; a fault of the engine may have come after the work."""
    if error.status in _OVERLOADED_STATUSES and not has_tokens:
        return Refusal(RefusalReason.OVERLOADED, Ran.NO)
    if error.status < _SERVER_FAULT and not has_tokens:
        return Refusal(RefusalReason.BAD_REQUEST, Ran.NO)
    return Refusal(RefusalReason.SERVER_FAILED, Ran.UNKNOWN)
