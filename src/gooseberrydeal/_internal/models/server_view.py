"""Describe what an entry host knows of a backend server."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.adapter_ref import AdapterRef


@dataclass(frozen=True, slots=True)
class ServerView:
    """Hold a server's last report together with what was sent to it since.

    ``outstanding`` counts own requests that the report can't yet include.
    ``victim_demand`` is ``None`` where no slot can be had.
    """

    server: str
    domain: str
    owner: str
    owner_address: str
    running: int
    queued: int
    outstanding: int
    concurrency: int
    wait_seconds: float
    slowdown: float
    victim_demand: float | None
    ready: frozenset[AdapterRef] = frozenset()
    loading: frozenset[AdapterRef] = frozenset()
