"""Derive from a host's limits how much it may hold for clients and servers."""

import math
from dataclasses import dataclass
from typing import Final, Self

_MEBIBYTE: Final = 1024 * 1024
# The process without clients takes 42 to 70 MiB, and its control state 32 MB at the
# design size (design note 11).
_PROCESS_BYTES: Final = 96 * _MEBIBYTE
# The allocator returns memory late and in parts, so a third stays free.
_USABLE_SHARE: Final = 2 / 3
# Hosts of less memory than the process is expected to take hold at least this share.
_MIN_SHARE: Final = 1 / 8
_LONG_BODIES_SHARE: Final = 1 / 2
# An idle connection takes 4.9 KB (docs/CAPACITY.md). All that may be open together take
# less than the share from which on reads are kept short.
CONNECTION_BYTES: Final = 6_144
_CONNECTIONS_SHARE: Final = 1 / 4
# The platform counts 200 descriptors for files.
_FILE_DESCRIPTORS: Final = 200
# Each request that is served may need a connection to a server.
_INBOUND_SHARE: Final = 1 / 2
_PEERS_SHARE: Final = 1 / 4
_STATUS_SHARE: Final = 1 / 8
_MAX_STATUS_CONNECTIONS: Final = 64


@dataclass(frozen=True, slots=True)
class HostBudget:
    """Hold a host's bounds, infinite where its limits are not stated.

    ``long_bytes`` is for the bodies of long requests and ``other_bytes`` for all else
    that is held for connections. The connections are those that may be open at the
    addresses for callers, for other hosts, and for readiness or metrics.
    """

    long_bytes: float = math.inf
    other_bytes: float = math.inf
    caller_connections: float = math.inf
    peer_connections: float = math.inf
    status_connections: float = math.inf

    @classmethod
    def from_limits(cls, memory_bytes: int | None, max_descriptors: int | None) -> Self:
        """Return the bounds of a host with these limits, ``None`` if not stated."""
        held = sockets = math.inf
        if memory_bytes is not None:
            usable = (memory_bytes - _PROCESS_BYTES) * _USABLE_SHARE
            held = max(usable, memory_bytes * _MIN_SHARE)
        if max_descriptors is not None:
            # A host of fewer descriptors than the platform grants gets half of them.
            sockets = max(max_descriptors - _FILE_DESCRIPTORS, max_descriptors / 2)
        other_bytes = held * (1 - _LONG_BODIES_SHARE)
        inbound = min(
            sockets * _INBOUND_SHARE,
            other_bytes * _CONNECTIONS_SHARE / CONNECTION_BYTES,
        )
        if inbound == math.inf:
            return cls()
        status = min(inbound * _STATUS_SHARE, _MAX_STATUS_CONNECTIONS)
        peers = inbound * _PEERS_SHARE
        return cls(
            held * _LONG_BODIES_SHARE,
            other_bytes,
            max(1, int(inbound - peers - status)),
            max(1, int(peers)),
            max(1, int(status)),
        )
