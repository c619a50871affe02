"""Choose the connections to close when a host holds too much."""

from collections.abc import Callable, Iterable, Mapping
from typing import Final, TypeVar

from gooseberrydeal._internal.policy.host_memory.connection_load import (
    ConnectionLoad,
)

_Key = TypeVar("_Key")

# A client that sends less than a part of its request in this time makes room for
# others. Clients within the limits may pause longer, so this applies only without room.
STALLED_SECONDS: Final = 2.0
# A response that has begun is cut only if its client takes nothing for this long.
UNREAD_SECONDS: Final = 5.0


def choose_for_long(loads: Mapping[_Key, ConnectionLoad], needed: float) -> list[_Key]:
    """Return the connections to close so that a long body gets ``needed`` bytes.

    These are requests that have stalled: the longest first, then the largest.
    """
    stalled = {
        key: load
        for key, load in loads.items()
        if load.long_bytes and load.is_receiving and load.stalled >= STALLED_SECONDS
    }
    order = sorted(stalled, key=lambda key: _by_stall(stalled[key]))
    return _until(order, lambda key: stalled[key].long_bytes, needed)


def choose_for_others(
    loads: Mapping[_Key, ConnectionLoad], excess: float
) -> list[_Key]:
    """Return the connections to close so that ``excess`` bytes become free.

    First come clients that have not read their response for long, then requests that
    are being received, which have not run: the largest first.
    """
    unread = [key for key, load in loads.items() if load.unread >= UNREAD_SECONDS]
    receiving = [
        key for key, load in loads.items() if load.is_receiving and not load.long_bytes
    ]
    order = [
        *sorted(unread, key=lambda key: -loads[key].total_bytes),
        *sorted(receiving, key=lambda key: -loads[key].total_bytes),
    ]
    return _until(order, lambda key: loads[key].other_bytes, excess)


def choose_for_connection(loads: Mapping[_Key, ConnectionLoad]) -> _Key | None:
    """Return the connection to close for a new one, ``None`` if all make progress."""
    hopeless = {
        key: max(load.stalled if load.is_receiving else 0.0, load.unread)
        for key, load in loads.items()
        if (load.is_receiving and load.stalled >= STALLED_SECONDS)
        or load.unread >= UNREAD_SECONDS
    }
    return max(hopeless, key=lambda key: hopeless[key], default=None)


def _by_stall(load: ConnectionLoad) -> tuple[float, int]:
    return -load.stalled, -load.long_bytes


def _until(
    order: Iterable[_Key], size: Callable[[_Key], int], needed: float
) -> list[_Key]:
    chosen = []
    for key in order:
        if needed <= 0:
            break
        chosen.append(key)
        needed -= size(key)
    return chosen
