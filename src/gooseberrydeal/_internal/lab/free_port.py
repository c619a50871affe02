"""Find free TCP ports on the loopback interface."""

import random
import socket
from typing import Final

LOOPBACK: Final = "127.0.0.1"
_FIRST_PORT: Final = 20_000
_END_PORT: Final = 32_000
_MAX_ATTEMPTS: Final = 200


def free_port() -> int:
    """Return a TCP port that is currently free on the loopback interface.

    The port lies below the ephemeral range, so that no outgoing connection takes it
    before the caller listens on it. Raises ``OSError`` if none is found.
    """
    rng = random.SystemRandom()
    for _ in range(_MAX_ATTEMPTS):
        port = rng.randrange(_FIRST_PORT, _END_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            return port
    raise OSError("no free TCP port found on the loopback interface")


def free_address() -> str:
    """Return a free loopback address as ``IP:port``."""
    return f"{LOOPBACK}:{free_port()}"
