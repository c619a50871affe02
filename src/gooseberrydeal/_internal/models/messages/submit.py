"""Hand a request to the owner of a backend server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Submit:
    """Ask an owner to run a request on one of its servers.

    ``deadline_left`` is the time in seconds in which the first token is of use.
    ``offset`` counts the tokens that the caller already has. ``demand`` is the
    sender's estimate of requests per second for the adapter.
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
