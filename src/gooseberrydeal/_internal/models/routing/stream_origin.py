"""Define where a stream began."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import ServerId, ServiceName, SoftwareVersion


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Hold the service, the software version and the server that began a stream.

    ``version`` is ``None`` if the server's entry says none; then only the same start of
    the same server can go on. ``started_at`` is the start time in that entry. Unless
    ``is_certain``, the server may have started again before the stream began, so that
    the entry may be of its earlier start.
    """

    service: ServiceName
    version: SoftwareVersion | None
    server: ServerId
    started_at: int
    is_certain: bool = True
