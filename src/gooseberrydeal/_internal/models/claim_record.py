"""Define the stored record of an idempotency claim."""

import json
from base64 import b64decode, b64encode
from dataclasses import dataclass

from gooseberrydeal._internal.models.ran import Ran


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Store which request claimed an idempotency key, and its outcome if known.

    ``attempt`` is unique to one write, so that the writer can tell whether a write
    that got no response was applied. ``status``, ``content_type`` and ``answer`` are
    those of the response.
    """

    request_id: str
    body_hash: str
    entry_host: str
    attempt: str
    ran: Ran = Ran.UNKNOWN
    status: int = 0
    content_type: str = ""
    answer: bytes = b""

    def encode(self) -> bytes:
        """Serialize the record for the store."""
        return json.dumps(
            {
                "request_id": self.request_id,
                "body_hash": self.body_hash,
                "entry_host": self.entry_host,
                "attempt": self.attempt,
                "ran": self.ran.value,
                "status": self.status,
                "content_type": self.content_type,
                "answer": b64encode(self.answer).decode(),
            },
            sort_keys=True,
        ).encode()

    @classmethod
    def decode(cls, data: bytes) -> "ClaimRecord":
        """Parse a stored record; raise ``ValueError`` if it is malformed."""
        value = json.loads(data)
        try:
            return cls(
                request_id=value["request_id"],
                body_hash=value["body_hash"],
                entry_host=value["entry_host"],
                attempt=value["attempt"],
                ran=Ran(value["ran"]),
                status=int(value["status"]),
                content_type=value["content_type"],
                answer=b64decode(value["answer"]),
            )
        except (KeyError, TypeError) as error:
            raise ValueError(f"claim record is malformed: {error!r}") from error
