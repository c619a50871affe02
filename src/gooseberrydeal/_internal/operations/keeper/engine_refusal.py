"""Map the error responses of engines to refusals."""

from typing import Final

from gooseberrydeal._internal.exceptions import ServerRefusedError
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason

_OVERLOADED_STATUSES: Final = frozenset({429, 503})
_MIN_SERVER_ERROR_STATUS: Final = 500


def refusal_from_error(error: ServerRefusedError, *, has_tokens: bool) -> Refusal:
    """Return the refusal for an error response of an engine.

    ``has_tokens`` states whether tokens were received before. In that case, and for
    server errors other than overload, the engine may have executed the request.
    """
    if error.status in _OVERLOADED_STATUSES and not has_tokens:
        return Refusal(RefusalReason.OVERLOADED, Ran.NO)
    if error.status < _MIN_SERVER_ERROR_STATUS and not has_tokens:
        return Refusal(RefusalReason.BAD_REQUEST, Ran.NO)
    return Refusal(RefusalReason.SERVER_FAILED, Ran.UNKNOWN)
