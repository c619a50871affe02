"""Describe an order to an engine and what became of it."""

from dataclasses import dataclass
from enum import Enum


class OrderAction(Enum):
    """List what an engine can be ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderOutcome(Enum):
    """List what became of an order.

    ``DONE`` needs no waiting; ``ACCEPTED`` is being carried out. ``CONFLICT`` says that
    another order came first, ``REJECTED`` that the order can't be carried out.
    ``UNKNOWN`` orders may still be carried out later.
    """

    DONE = "done"
    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AdapterOrder:
    """Order a load or unload of an adapter, or of a base model if there is none.

    The engine refuses it unless it has accepted exactly ``after_orders`` orders.
    A ``version`` of 0 means the newest.
    """

    action: OrderAction
    model: str
    adapter: str
    version: int
    after_orders: int
    holder: str
    fencing_number: int
