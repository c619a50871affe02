"""Read the platform's host list, in the format of Prometheus HTTP service discovery."""

import ssl
from typing import Final

from gooseberrydeal._internal.exceptions import HostListError, ServerError
from gooseberrydeal._internal.models.listed_host import ListedHost
from gooseberrydeal._internal.network.http_session import HttpSession

_READ_TIMEOUT_SECONDS: Final = 2.0
_POOL_SIZE: Final = 2


class HttpHostList:
    """Fetch target groups; the label ``state`` is ``leaving`` for leaving hosts."""

    def __init__(self, session: HttpSession) -> None:
        self._session = session

    @classmethod
    def from_url(cls, url: str, tls: ssl.SSLContext | None = None) -> "HttpHostList":
        """Build a client for a base URL."""
        return cls(
            HttpSession(
                url, read_seconds=_READ_TIMEOUT_SECONDS, pool_size=_POOL_SIZE, tls=tls
            )
        )

    async def read(self) -> tuple[ListedHost, ...]:
        """Return the hosts; raise :class:`HostListError` if that fails."""
        try:
            groups = await self._session.call_json("GET", "/hosts")
            return tuple(
                ListedHost(str(target), group["labels"].get("state") == "leaving")
                for group in groups
                for target in group["targets"]
            )
        except (ServerError, KeyError, TypeError, AttributeError) as error:
            raise HostListError(
                "host list could not be fetched from /hosts or is malformed"
            ) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
