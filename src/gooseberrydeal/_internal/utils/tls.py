"""Build contexts for mutual TLS, and follow their files."""

import ssl
from pathlib import Path
from typing import Protocol


class TlsFiles(Protocol):
    """Name the files of an identity and of the authority that peers must show."""

    @property
    def certificate(self) -> Path:
        """Return the certificate's file."""
        ...

    @property
    def key(self) -> Path:
        """Return the key's file."""
        ...

    @property
    def authority(self) -> Path:
        """Return the file of the authorities' certificates."""
        ...


class TlsContexts:
    """Hold a context for each direction; both sides must show a certificate.

    Changed files are read again before the next connection, so that keys are
    rotated without a restart. Open connections go on with the old ones.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._client = ssl.create_default_context(cafile=str(files.authority))
        self._client.check_hostname = False
        self._server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self._server.verify_mode = ssl.CERT_REQUIRED
        self._read_at: tuple[int, ...] = ()
        self.refresh()

    @classmethod
    def from_files(cls, files: TlsFiles | None) -> "TlsContexts | None":
        """Build contexts, or return ``None`` where no files are set."""
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
        """Read the files again if they have changed."""
        changed_at = self._changed_at()
        if changed_at == self._read_at:
            return
        for context in (self._client, self._server):
            context.load_cert_chain(self._files.certificate, self._files.key)
            context.load_verify_locations(str(self._files.authority))
        self._read_at = changed_at

    def _changed_at(self) -> tuple[int, ...]:
        paths = (self._files.certificate, self._files.key, self._files.authority)
        return tuple(path.stat().st_mtime_ns for path in paths)
