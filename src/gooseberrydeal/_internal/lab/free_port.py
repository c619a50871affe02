"""Find free ports on the loopback interface."""

import itertools
import random
import socket
from collections.abc import Iterator
from typing import Final

LOOPBACK: Final = "127.0.0.1"
# Below the ephemeral range, so that no outgoing connection takes a port before the
# caller listens on it.
_FIRST_PORT: Final = 20_000
_END_PORT: Final = 32_000
_MAX_ATTEMPTS: Final = 200


class _PortRange:
    """Hand out the ports of a range in turn, from a random one on.

    A port is handed out again only after all others, so that a server that is down for
    a moment finds its port free when it starts again.
    """

    def __init__(self) -> None:
        self.restrict(_FIRST_PORT, _END_PORT)

    def restrict(self, first: int, end: int) -> None:
        start = random.SystemRandom().randrange(first, end)
        self._ports: Iterator[int] = itertools.cycle(
            [*range(start, end), *range(first, start)]
        )

    def next(self) -> int:
        return next(self._ports)


_ports = _PortRange()


def use_part_of_ports(part: int, parts: int) -> None:
    """Use only one of several equal parts of the ports in this process.

    Processes that run side by side with parts of their own never choose the same port.
    """
    size = (_END_PORT - _FIRST_PORT) // parts
    first = _FIRST_PORT + part * size
    _ports.restrict(first, first + size)


def free_port() -> int:
    """Return a port that is currently free for TCP and for UDP.

    Raises ``OSError`` if none is found.
    """
    for _ in range(_MAX_ATTEMPTS):
        port = _ports.next()
        if _is_free(port, socket.SOCK_STREAM) and _is_free(port, socket.SOCK_DGRAM):
            return port
    raise OSError("no free port found on the loopback interface")


def free_address() -> str:
    """Return a free loopback address as ``IP:port``."""
    return f"{LOOPBACK}:{free_port()}"


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(type=kind) as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
