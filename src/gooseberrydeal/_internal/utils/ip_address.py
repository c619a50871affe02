"""Parse ``IP:port`` addresses; host names are rejected, so DNS is never used."""

from ipaddress import ip_address
from typing import Final

_MAX_PORT: Final = 65535


def split_ip_and_port(text: str, *, any_port: bool = False) -> tuple[str, int]:
    """Parse ``IP:port`` or ``[IPv6]:port``; raise ``ValueError`` if it is invalid.

    Port 0, with which the operating system chooses a free port, requires ``any_port``.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} does not have the form IP:port")
    address = ip_address(host.strip("[]"))
    number = int(port)
    min_port = 0 if any_port else 1
    if not min_port <= number <= _MAX_PORT:
        raise ValueError(f"port {number} is not between {min_port} and {_MAX_PORT}")
    return str(address), number


def is_ip_and_port(text: str) -> bool:
    """Return whether the text is a valid ``IP:port`` with a port of at least 1."""
    try:
        split_ip_and_port(text)
    except ValueError:
        return False
    return True
