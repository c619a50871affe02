"""Define the stored allocation of load permits to keepers."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class BudgetRecord:
    """Allocate ``total`` load permits to keepers.

    ``members`` maps the live hosts to their numbers of permits. ``reserved`` does so
    for unreachable hosts that may still use theirs. ``epoch`` increases with every
    allocation; ``attempt`` identifies the write.
    """

    epoch: int
    total: int
    members: dict[str, int]
    reserved: dict[str, int]
    attempt: str

    def encode(self) -> bytes:
        """Serialize the record for the store."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, data: bytes) -> "BudgetRecord":
        """Parse a stored record; raise ``ValueError`` if it is malformed."""
        try:
            return cls(**json.loads(data))
        except TypeError as error:
            raise ValueError(f"budget record is malformed: {error}") from error
