"""Define the result of placing a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold the server chosen for a request and its owner's address.

    ``wait_seconds`` is the expected wait. ``needs_load`` means that the adapter is
    yet to be loaded there.
    """

    server: str
    owner_address: str
    wait_seconds: float
    needs_load: bool
