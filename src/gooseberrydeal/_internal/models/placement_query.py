"""Describe what has to be placed."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.adapter_ref import AdapterRef


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """Ask for a server.

    ``affinity`` identifies a shared prompt prefix; ``load_wait_seconds`` is how long
    a further load would wait for the weight store.
    """

    adapter: AdapterRef | None
    slot_seconds: float
    home_domain: str
    affinity: str = ""
    excluded: frozenset[str] = frozenset()
    load_wait_seconds: float = 0.0
