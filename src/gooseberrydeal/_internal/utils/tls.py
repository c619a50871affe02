"""Build contexts for mutual TLS and reload them when their files change."""

import ssl
from pathlib import Path
from typing import Protocol


class TlsFiles(Protocol):
    """Give the paths of a certificate, its key and the trusted authorities."""

    @property
    def certificate(self) -> Path:
        """Return the path of the PEM file of the certificate chain."""
        ...

    @property
    def key(self) -> Path:
        """Return the path of the PEM file of the private key."""
        ...

    @property
    def authority(self) -> Path:
        """Return the path of the PEM file of the trusted authorities' certificates."""
        ...


class TlsContexts:
    """Hold a client and a server context; both sides must present a certificate.

    :meth:`refresh`, which is called before a connection is opened, reloads changed
    files, so that keys can be rotated without a restart. Open connections continue
    with the old ones.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._client = ssl.create_default_context(cafile=str(files.authority))
        self._client.check_hostname = False
        self._server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self._server.verify_mode = ssl.CERT_REQUIRED
        self._loaded_modification_times: tuple[int, ...] = ()
        self.refresh()

    @classmethod
    def from_files(cls, files: TlsFiles | None) -> "TlsContexts | None":
        """Build contexts from files, or return ``None`` if TLS is not configured."""
        return None if files is None else cls(files)

    @property
    def client(self) -> ssl.SSLContext:
        """Return the context for outgoing connections."""
        return self._client

    @property
    def server(self) -> ssl.SSLContext:
        """Return the context for accepted connections."""
        return self._server

    def refresh(self) -> None:
        """Reload the files if one of their modification times has changed."""
        modification_times = self._read_modification_times()
        if modification_times == self._loaded_modification_times:
            return
        for context in (self._client, self._server):
            context.load_cert_chain(self._files.certificate, self._files.key)
            context.load_verify_locations(str(self._files.authority))
        self._loaded_modification_times = modification_times

    def _read_modification_times(self) -> tuple[int, ...]:
        paths = (self._files.certificate, self._files.key, self._files.authority)
        return tuple(path.stat().st_mtime_ns for path in paths)
