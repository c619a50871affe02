"""Tell how long a connection to a server may be idle."""

from typing import Final

# How long a connection may be idle if the server announces no keep-alive timeout.
DEFAULT_IDLE_TIMEOUT_SECONDS: Final = 4.0
# Connections are not reused this close to the server's own idle timeout, since the
# server could close them just as a request is sent.
_IDLE_MARGIN_SECONDS: Final = 0.7
_MAX_TIMEOUT_DIGITS: Final = 9


def parse_idle_timeout(value: bytes) -> float:
    """Return how long a connection may be idle, in seconds.

    This is the timeout that a Keep-Alive field announces, less a margin.
    """
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        is_number = number.isdigit() and len(number) <= _MAX_TIMEOUT_DIGITS
        if name.lower() == b"timeout" and is_number:
            return max(0.0, int(number) - _IDLE_MARGIN_SECONDS)
    return DEFAULT_IDLE_TIMEOUT_SECONDS
