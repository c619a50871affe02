"""Define what hosts tell each other about where streams began."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.models.routing.stream_origin import StreamOrigin


@dataclass(frozen=True, slots=True)
class StreamNotice:
    """Tell another host where a stream began, by the digest of its request's id.

    ``query`` is the number of the query that this answers, 0 if it answers none.
    ``origin`` is ``None`` if the host does not know where the stream began.
    """

    host: HostId
    stream: bytes
    query: int
    origin: StreamOrigin | None


@dataclass(frozen=True, slots=True)
class StreamQuery:
    """Ask another host where a stream began; it answers to ``address``."""

    address: str
    stream: bytes
    query: int
