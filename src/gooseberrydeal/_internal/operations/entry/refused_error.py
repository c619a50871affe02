"""Stop the handling of a request with a refusal."""

from gooseberrydeal._internal.exceptions import GooseberrydealError
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason


class RefusedError(GooseberrydealError):
    """Carry the refusal of a request that was not run."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail or refusal.reason.value)
        self.refusal = refusal

    @classmethod
    def not_run(
        cls, reason: RefusalReason, detail: str = "", retry_after: float | None = None
    ) -> "RefusedError":
        """Refuse a request of which no byte has left."""
        return cls(Refusal(reason, Ran.NO, detail, retry_after))
