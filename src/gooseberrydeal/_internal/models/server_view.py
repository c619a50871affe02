"""Define an entry host's view of a backend server."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.adapter_ref import AdapterRef


@dataclass(frozen=True, slots=True)
class ServerView:
    """Combine a server's last report with the requests sent to it since.

    ``outstanding`` is the number of this host's requests that the report cannot
    include yet. ``slowdown`` is the ratio of the server's latency to that of its
    peers. ``victim_demand`` is the demand, in requests per second, for the adapter
    that the next load would evict, ``None`` if none can be evicted. ``ready`` and
    ``loading`` are the adapters on the server.
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
