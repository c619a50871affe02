"""Define the keys of adapters and of adapter versions."""

from typing import Final, NamedTuple

# Version of an adapter for which no version has been declared.
FIRST_VERSION: Final = 1


class AdapterKey(NamedTuple):
    """Identify an adapter, or the base model itself if ``adapter`` is empty."""

    model: str
    adapter: str

    def __str__(self) -> str:
        """Return ``MODEL/ADAPTER`` or ``MODEL``, as used in logs and by callers."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class AdapterCopyKey(NamedTuple):
    """Identify one version of an adapter, as loaded on engines."""

    model: str
    adapter: str
    version: int

    @property
    def key(self) -> AdapterKey:
        """Return the key of the adapter, without the version."""
        return AdapterKey(self.model, self.adapter)
