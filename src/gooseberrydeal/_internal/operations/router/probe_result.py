"""Define the results of probing a backend server."""

from enum import Enum


class ProbeResult(Enum):
    """List what a connection attempt tells about a server.

    ``NOT_LISTENING`` means that its machine answers but no process listens at its
    address, ``ISOLATED`` that it looks the same but no other server can be reached
    either, ``SILENT`` that no connection was made for any other reason.
    """

    CONNECTED = "connected"
    NOT_LISTENING = "not_listening"
    ISOLATED = "isolated"
    SILENT = "silent"
