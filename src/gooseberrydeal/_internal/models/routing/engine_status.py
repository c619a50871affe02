"""Define the status that an engine's owner publishes to all hosts."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import FencingNumber, HostId, ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed


@dataclass(frozen=True, slots=True)
class CopyStatus:
    """Describe an adapter copy; ``ready_in`` is the seconds until it is ready."""

    key: AdapterCopyKey
    state: CopyState
    ready_in: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """Describe an engine; a higher ``(fencing_number, sequence)`` is newer.

    ``may_load`` states whether the owner may send load orders, and ``spare_slots`` how
    many more adapters can be loaded now. ``requests`` and ``tokens`` count what all
    hosts have in flight on the engine. ``pending_prefill_tokens`` are the prompt tokens
    that await prefill, those of requests whose response has not started. ``slowdown``
    is the ratio of the engine's latency to normal: 1.0 is normal, more is slower.
    ``speed`` is what all hosts observed of it, ``None`` if that is too little.
    ``waiting`` has pairs of a rank and the number of its requests that wait for an
    engine of the service, at the hosts that report to this owner. ``warm_copies`` is an
    encoded ``WarmCopies``, empty if the status leaves it out.
    """

    owner: HostId
    server: ServerId
    fencing_number: FencingNumber
    sequence: int
    may_load: bool
    spare_slots: int
    requests: int
    tokens: int
    pending_prefill_tokens: int
    slowdown: float
    base_models: tuple[str, ...]
    copies: tuple[CopyStatus, ...]
    speed: EngineSpeed | None = None
    waiting: tuple[tuple[int, int], ...] = ()
    warm_copies: bytes = b""
