"""Choose free ports on loopback addresses."""

import random
import socket

# Each machine of a case has a loopback address of its own, with the same ports.
_FIRST_PORT, _LAST_PORT = 21_000, 32_000


def free_ports(ips: list[str], count: int) -> int:
    """Return the first of consecutive ports that are free on all addresses."""
    rng = random.Random()
    for _ in range(200):
        first = rng.randrange(_FIRST_PORT, _LAST_PORT - count)
        if all(_is_free(ip, first + n) for ip in ips for n in range(count)):
            return first
    raise OSError("found no free ports")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as test:
            try:
                test.bind((ip, port))
            except OSError:
                return False
    return True
