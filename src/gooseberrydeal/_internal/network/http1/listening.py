"""Listen for connections."""

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.utils.ip_address import split_ip_and_port

_ACCEPT_BACKLOG: Final = 512
# asyncio accepts as many connections at a time as it was told to let wait; each of them
# has a descriptor before a limit can apply to it.
_ACCEPTED_AT_ONCE: Final = 16


async def listen(
    address: str, make_connection: Callable[[], asyncio.BaseProtocol]
) -> asyncio.Server:
    """Return a server that listens at an address of the form ``IP:port``.

    Raises ``OSError`` if the address can't be bound and ``ValueError`` if it is not of
    this form.
    """
    host, port = split_ip_and_port(address, any_port=True)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        make_connection, host, port, backlog=_ACCEPTED_AT_ONCE, reuse_address=True
    )
    for listening in server.sockets:
        with socket.socket(fileno=listening.dup().detach()) as sock:
            sock.listen(_ACCEPT_BACKLOG)
    return server
