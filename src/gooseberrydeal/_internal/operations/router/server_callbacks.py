"""Define what the request path reports of a server."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from gooseberrydeal._internal.exceptions import ServerUnreachableError
from gooseberrydeal._internal.operations.router.server_record import ServerRecord


@dataclass(frozen=True, slots=True)
class ServerCallbacks:
    """Hold functions that are called with the server concerned.

    ``usage_changed`` is called when the server's load from this host changes,
    ``copy_released`` when no request of this host uses an adapter copy there any more,
    ``unreachable`` when the server cannot be reached, ``connect_failed`` when no
    connection to it could be opened, with the error and when the attempt began on the
    loop's clock, and ``sent`` when a request was sent there. ``is_gone`` returns
    whether a server can't be reached that was silent since a time on that clock.
    """

    usage_changed: Callable[[ServerRecord], None]
    copy_released: Callable[[ServerRecord], None]
    unreachable: Callable[[ServerRecord], None]
    connect_failed: Callable[[ServerRecord, ServerUnreachableError, float], None]
    sent: Callable[[ServerRecord], None]
    is_gone: Callable[[ServerRecord, float], Awaitable[bool]]
