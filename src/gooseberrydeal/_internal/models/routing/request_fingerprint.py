"""Define how requests are recognised that a caller sends again."""

from typing import NamedTuple


class RequestFingerprint(NamedTuple):
    """Identify requests that have the same path, caller and body.

    ``outline`` is a digest of the path, the caller and the body's length, ``body`` a
    digest of the body itself.
    """

    outline: bytes
    body: bytes

    def __str__(self) -> str:
        """Return the fingerprint in hexadecimal, as used in logs."""
        return f"{self.outline.hex()}-{self.body.hex()}"
