"""Define what is needed of the platform's list of hosts."""

from typing import Protocol

from gooseberrydeal._internal.models.listed_host import ListedHost


class HostList(Protocol):
    """Read the lagging list of live and leaving hosts."""

    async def read(self) -> tuple[ListedHost, ...]:
        """Return the hosts, or raise :class:`HostListError`."""
        ...
