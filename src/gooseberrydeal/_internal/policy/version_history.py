"""Remember which software versions of each service were there."""

from collections.abc import Iterable
from typing import Final

from gooseberrydeal._internal.models.ids import ServiceName, SoftwareVersion
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry

# A host that has not read the store for this long may have missed a version.
_MAX_VIEW_AGE_SECONDS: Final = 3.0


class VersionHistory:
    """Tell whether all streams of a service that may still go on began at one version.

    That holds if this host saw no other version for longer than streams last. A host
    that started a moment ago does not know which versions ended before.
    """

    def __init__(self) -> None:
        self._seen_at: dict[ServiceName, dict[SoftwareVersion | None, float]] = {}

    def note(self, entries: Iterable[ServerEntry], now: float) -> None:
        """Record the versions of servers that are registered."""
        for entry in entries:
            self._seen_at.setdefault(entry.service, {})[entry.software_version] = now

    def sole_version(
        self,
        service: ServiceName,
        seconds: float,
        complete_since: float,
        last_read_at: float,
        now: float,
    ) -> SoftwareVersion | None:
        """Return the only version of the last ``seconds``, ``None`` if not known.

        All servers that registered after ``complete_since`` were recorded, and
        ``last_read_at`` is when the servers were last read from the store.
        """
        if now - complete_since < seconds:
            return None
        if now - last_read_at > _MAX_VIEW_AGE_SECONDS:
            return None
        seen = self._seen_at.get(service, {})
        recent = [version for version, at in seen.items() if now - at <= seconds]
        return recent[0] if len(recent) == 1 else None
