"""Define the interface to the platform's host list."""

from typing import Protocol

from gooseberrydeal._internal.models.listed_host import ListedHost


class HostList(Protocol):
    """Read the list of live and leaving hosts, which may be out of date."""

    async def read(self) -> tuple[ListedHost, ...]:
        """Return the hosts; raise :class:`HostListError` if that fails."""
        ...
