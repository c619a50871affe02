"""Define what a host says of a request that it passes on to another host."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import HostId


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """Name the host that passes a request on, and how many servers may still run it.

    ``incarnation`` is that of the host's record in the metadata store, which callers
    cannot read.
    """

    host: HostId
    incarnation: int
    max_servers: int
