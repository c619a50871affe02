"""Describe an engine's own report."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.server_entry import HeldModels


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Hold what an engine holds, loads and has accepted, some 100 ms ago."""

    started_at: int
    order_count: int
    is_busy: bool
    held: HeldModels
    loading: tuple[AdapterCopyKey, ...] = ()
