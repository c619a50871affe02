"""Define the state that an engine reports."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.server_entry import HeldModels


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Hold an engine's state as of about 100 ms before the report.

    ``started_at`` is the Unix time of the engine's start in milliseconds and
    ``order_count`` the number of orders that it has accepted since. While the engine
    ``is_busy``, the count cannot be relied on.
    """

    started_at: int
    order_count: int
    is_busy: bool
    held: HeldModels
    loading: tuple[AdapterCopyKey, ...] = ()
