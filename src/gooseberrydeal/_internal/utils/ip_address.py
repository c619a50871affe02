"""Recognise addresses that need no name service."""

from ipaddress import ip_address
from typing import Final

_HIGHEST_PORT: Final = 65535


def split_ip_and_port(text: str, *, any_port: bool = False) -> tuple[str, int]:
    """Return the IP address and port of ``IP:port``, or raise ``ValueError``.

    Port 0 is allowed only where the system may choose any.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} is not IP:port")
    address = ip_address(host.strip("[]"))
    number = int(port)
    lowest = 0 if any_port else 1
    if not lowest <= number <= _HIGHEST_PORT:
        raise ValueError(f"port {number} is not between {lowest} and {_HIGHEST_PORT}")
    return str(address), number


def is_ip_and_port(text: str) -> bool:
    """Return whether the text is ``IP:port``."""
    try:
        split_ip_and_port(text)
    except ValueError:
        return False
    return True
