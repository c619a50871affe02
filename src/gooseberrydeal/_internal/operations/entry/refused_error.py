"""Define the error that ends the handling of a request with a refusal."""

from gooseberrydeal._internal.exceptions import GooseberrydealError
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason


class RefusedError(GooseberrydealError):
    """End the handling of a request; the refusal is returned to the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail or refusal.reason.value)
        self.refusal = refusal

    @classmethod
    def not_run(
        cls, reason: RefusalReason, detail: str = "", retry_after: float | None = None
    ) -> "RefusedError":
        """Return the error for a request that was not sent to any server."""
        return cls(Refusal(reason, Ran.NO, detail, retry_after))
