"""Define the orders to engines and their outcomes."""

from dataclasses import dataclass
from enum import Enum


class OrderAction(Enum):
    """List the actions that an engine can be ordered to perform."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderOutcome(Enum):
    """List the outcomes of sending an order.

    ``DONE`` means that the order is complete, ``ACCEPTED`` that the engine is still
    carrying it out. ``CONFLICT`` means that the engine had accepted another order
    before, ``REJECTED`` that it cannot carry out this one. If the outcome is
    ``UNKNOWN``, the engine may still carry out the order later.
    """

    DONE = "done"
    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AdapterOrder:
    """Order an engine to load or unload an adapter.

    An empty ``adapter`` selects the base model itself, and a ``version`` of 0 the
    newest version. The engine rejects the order as a conflict unless it has accepted
    exactly ``expected_order_count`` orders before. ``holder`` is the host that sends
    the order.
    """

    action: OrderAction
    model: str
    adapter: str
    version: int
    expected_order_count: int
    holder: str
    fencing_number: int
