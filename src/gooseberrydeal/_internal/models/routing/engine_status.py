"""Describe what the owner of an engine tells all hosts."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import FencingNumber, HostId, ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.copy_state import CopyState


@dataclass(frozen=True, slots=True)
class CopyStatus:
    """Describe a copy; ``ready_in`` is in seconds."""

    key: AdapterCopyKey
    state: CopyState
    ready_in: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """Describe an engine; a newer status of a higher fencing number goes first.

    ``requests`` and ``tokens`` count what all hosts have in flight there, and
    ``unread_tokens`` the prompts whose response has not begun. ``spare_slots`` is how
    many more adapters could be loaded now, ``pace`` how long work takes, 1.0 as usual.
    """

    owner: HostId
    server: ServerId
    fencing_number: FencingNumber
    sequence: int
    can_load: bool
    spare_slots: int
    requests: int
    tokens: int
    unread_tokens: int
    pace: float
    base_models: tuple[str, ...]
    copies: tuple[CopyStatus, ...]
