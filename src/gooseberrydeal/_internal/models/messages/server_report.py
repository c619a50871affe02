"""Define the report of a backend server's state by its owner."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerReport:
    """Report the state of a server; a higher ``(epoch, sequence)`` is newer.

    ``accepts`` tells whether new requests are accepted, ``wait_seconds`` is their
    predicted wait. ``victim_demand`` is the demand, in requests per second, for the
    adapter that the next load would evict, ``None`` if all are in use. ``slowdown`` is
    the ratio of the server's latency to that of its peers (1 is normal).
    ``first_seconds`` and ``gap_seconds`` are its smoothed times to the first token and
    between tokens, 0 before any request ran.
    """

    server: str
    epoch: int
    sequence: int
    owner: str
    owner_address: str
    accepts: bool
    running: int
    queued: int
    concurrency: int
    wait_seconds: float
    slowdown: float
    victim_demand: float | None
    first_seconds: float = 0.0
    gap_seconds: float = 0.0
