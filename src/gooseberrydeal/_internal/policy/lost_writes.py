"""Track which acknowledged changes the metadata store lost."""

from collections.abc import Mapping

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey
from gooseberrydeal._internal.models.routing.known_state import (
    ConfigurationSource,
    KnownState,
)


class LostWrites:
    """Compare what this host knows with what the store holds.

    The two differ after the store was restored from a copy, until operators and servers
    have written their changes again.
    """

    def __init__(self) -> None:
        self._configuration: ConfigurationSource | None = None
        self._known_version = 0
        self._stored_version = 0
        self._versions: dict[AdapterKey, int] = {}
        self._departed: dict[ServerId, int] = {}
        self._departed_elsewhere: Mapping[ServerId, int] = {}
        self._rewritten: set[ServerId] = set()

    @property
    def departed_servers(self) -> set[ServerId]:
        """Return the servers that left although the store lists them."""
        return {*self._departed, *self._departed_elsewhere}

    def begin_epoch(self, versions: Mapping[AdapterKey, int]) -> None:
        """Assume that the store lacks everything, until it is read."""
        self._stored_version = 0
        self._versions = dict(versions)
        self._departed.clear()
        self._departed_elsewhere = {}
        self._rewritten.clear()

    def configuration_known(self, source: ConfigurationSource, version: int) -> None:
        """Note the newest valid configuration."""
        self._configuration = source
        self._known_version = version

    def configuration_stored(self, version: int) -> None:
        """Note the version of the configuration in the store."""
        self._stored_version = version

    def version_known(self, key: AdapterKey, version: int) -> None:
        """Note an adapter's version that the store lacks."""
        self._versions[key] = version

    def version_stored(self, key: AdapterKey, version: int) -> None:
        """Note an adapter's version in the store."""
        if self._versions.get(key, version) <= version:
            self._versions.pop(key, None)

    def server_departed(self, server: ServerId, started_at: int) -> None:
        """Note a server that left although the store lists it."""
        self._departed[server] = started_at

    def departed_elsewhere(self, departed: Mapping[ServerId, int]) -> None:
        """Note which servers left as far as other hosts know, instead of earlier ones.

        One that has written its entry since the store was restored is present.
        """
        self._departed_elsewhere = {
            server: started_at
            for server, started_at in departed.items()
            if server not in self._rewritten
        }

    def server_written(self, server: ServerId) -> None:
        """Note that a server has written its entry in this epoch."""
        self._rewritten.add(server)
        self.server_removed(server)

    def server_removed(self, server: ServerId) -> None:
        """Note that the store no longer lists a server as it was."""
        self._departed.pop(server, None)
        if server in self._departed_elsewhere:
            rest = dict(self._departed_elsewhere)
            del rest[server]
            self._departed_elsewhere = rest

    def is_departed(self, server: ServerId, started_at: int) -> bool:
        """Return whether an entry belongs to a server that left."""
        latest = max(
            self._departed.get(server, -1), self._departed_elsewhere.get(server, -1)
        )
        return started_at <= latest

    def known_state(self, epoch: int, *, is_settled: bool) -> KnownState:
        """Return what the store lacks, for the record that other hosts read."""
        is_newer = self._known_version > self._stored_version
        return KnownState(
            epoch,
            is_settled,
            self._configuration if is_newer else None,
            dict(self._versions),
            {**self._departed_elsewhere, **self._departed},
        )
