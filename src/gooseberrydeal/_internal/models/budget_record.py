"""Describe the durable division of the load permits."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class BudgetRecord:
    """Give each member its permits; ``reserved`` holds those of lost members.

    ``members`` maps hosts to permits, and so does ``reserved``.
    """

    epoch: int
    total: int
    members: dict[str, int]
    reserved: dict[str, int]
    attempt: str

    def encode(self) -> bytes:
        """Return the stored form."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, data: bytes) -> "BudgetRecord":
        """Return the record of a stored form, or raise ``ValueError``."""
        try:
            return cls(**json.loads(data))
        except TypeError as error:
            raise ValueError("the budget record is malformed") from error
