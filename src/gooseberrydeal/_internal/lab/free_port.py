"""Find ports on loopback."""

import random
import socket
from typing import Final

LOOPBACK: Final = "127.0.0.1"
_FIRST: Final = 20_000
_LAST: Final = 32_000
_TRIES: Final = 200


def free_port() -> int:
    """Return a port that is free now.

    It lies below the ports that the system gives to outgoing connections, so that
    none of these takes it before it is listened on.
    """
    source = random.SystemRandom()
    for _ in range(_TRIES):
        port = source.randrange(_FIRST, _LAST)
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            return port
    raise OSError("no port is free")


def free_address() -> str:
    """Return ``IP:port`` on loopback."""
    return f"{LOOPBACK}:{free_port()}"
