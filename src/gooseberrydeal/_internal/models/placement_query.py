"""Define the input of a placement decision."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.adapter_ref import AdapterRef


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """Describe a request that needs a server.

    ``slot_seconds`` is the estimated time that it will occupy a running slot and
    ``local_domain`` the failure domain of the entry host. Requests with the same
    ``affinity`` share a prompt prefix. ``excluded`` lists servers that must not be
    chosen. ``load_wait_seconds`` is how long another adapter load would wait for the
    weight store.
    """

    adapter: AdapterRef | None
    slot_seconds: float
    local_domain: str
    affinity: str = ""
    excluded: frozenset[str] = frozenset()
    load_wait_seconds: float = 0.0
