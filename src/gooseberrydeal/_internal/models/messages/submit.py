"""Define the message that passes a request to a server's owner."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Submit:
    """Ask the owner of a server to run a request on it.

    ``call`` is ``chat``, ``completion`` or ``plain``. ``deadline_left`` is the time in
    seconds after which a first token is useless. ``offset`` is the number of tokens
    that the caller has already received. ``demand`` is the sender's estimate of the
    requests per second for the adapter.
    """

    stream: int
    request_id: str
    server: str
    service: str
    call: str
    caller: str
    work_class: str
    deadline_left: float
    expected_tokens: int
    body: bytes
    repeatable: bool
    adapter: str = ""
    version: str = ""
    operation: str = ""
    content_type: str = "application/json"
    fingerprint: str = ""
    offset: int = 0
    demand: float = 0.0
