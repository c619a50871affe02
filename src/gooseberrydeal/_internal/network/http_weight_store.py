"""Look up adapter weights in the weight store over HTTP."""

import ssl
from typing import Final

from gooseberrydeal._internal.exceptions import ServerError
from gooseberrydeal._internal.network.http_session import HttpSession

_READ_TIMEOUT_SECONDS: Final = 2.0
_POOL_SIZE: Final = 2
_OK_STATUS: Final = 200
_NOT_FOUND_STATUS: Final = 404


class HttpWeightStore:
    """Check for objects by requesting only their metadata, as object stores allow."""

    def __init__(self, session: HttpSession) -> None:
        self._session = session

    @classmethod
    def from_url(cls, url: str, tls: ssl.SSLContext | None = None) -> "HttpWeightStore":
        """Build a client for a base URL."""
        return cls(
            HttpSession(
                url, read_seconds=_READ_TIMEOUT_SECONDS, pool_size=_POOL_SIZE, tls=tls
            )
        )

    async def exists(self, path: str) -> bool | None:
        """Return whether the weights exist, ``None`` if that is not known."""
        try:
            status, _, _ = await self._session.call_raw(
                "GET", f"/weights/{path}?head=1", b"", {}
            )
        except ServerError:
            return None
        if status == _OK_STATUS:
            return True
        return False if status == _NOT_FOUND_STATUS else None

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
