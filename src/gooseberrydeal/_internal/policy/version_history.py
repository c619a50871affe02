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
        self._complete_since: float | None = None

    def note(self, servers: Iterable[ServerEntry], now: float) -> None:
        """Record the versions of all servers that are registered."""
        if self._complete_since is None:
            self._complete_since = now
        for entry in servers:
            versions = self._seen_at.setdefault(entry.service, {})
            versions[entry.software_version] = now

    def sole_version(
        self, service: ServiceName, seconds: float, last_read_at: float, now: float
    ) -> SoftwareVersion | None:
        """Return the only version of the last ``seconds``, ``None`` if not known.

        ``last_read_at`` is when the servers were last read from the store.
        """
        since = self._complete_since
        if since is None or now - since < seconds:
            return None
        if now - last_read_at > _MAX_VIEW_AGE_SECONDS:
            return None
        seen = self._seen_at.get(service, {})
        recent = [version for version, at in seen.items() if now - at <= seconds]
        return recent[0] if len(recent) == 1 else None
