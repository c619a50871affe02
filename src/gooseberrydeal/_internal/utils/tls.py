"""Build contexts for mutual TLS."""

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
        """Return the file of the authority's certificate."""
        ...


def client_context(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Return a context that shows an identity and checks the server's."""
    if files is None:
        return None
    context = ssl.create_default_context(cafile=str(files.authority))
    context.check_hostname = False
    context.load_cert_chain(files.certificate, files.key)
    return context


def server_context(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Return a context that shows an identity and requires one of the client."""
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_verify_locations(str(files.authority))
    context.load_cert_chain(files.certificate, files.key)
    context.verify_mode = ssl.CERT_REQUIRED
    return context
