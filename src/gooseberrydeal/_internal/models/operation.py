"""Define the configuration of a plain service's operation."""

from pydantic import Field

from gooseberrydeal._internal.models.declared import Declared, Name


class Operation(Declared):
    """Declare an operation and its work class.

    A ``repeatable`` operation is idempotent: it may be retried after it may have run.
    ``expected_seconds`` is the usual time that one call takes.
    """

    name: Name
    repeatable: bool
    work_class: Name
    expected_seconds: float = Field(default=0.05, gt=0)
