"""Find ports on loopback."""

import socket
from typing import Final

LOOPBACK: Final = "127.0.0.1"


def free_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


def free_address() -> str:
    """Return ``IP:port`` on loopback."""
    return f"{LOOPBACK}:{free_port()}"
