"""Define the message that ends a stream without a complete answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Refused:
    """Tell why there is no complete answer and whether the request was executed.

    ``reason`` is a :class:`RefusalReason` value and ``ran`` a :class:`Ran` value.
    ``retry_after`` is in seconds.
    """

    stream: int
    request_id: str
    reason: str
    ran: str
    detail: str = ""
    retry_after: float = 0.0
