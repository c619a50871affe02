"""Name an adapter, and a version of it."""

from typing import Final, NamedTuple

# Adapters whose version nobody has declared are at their first one.
FIRST_VERSION: Final = 1


class AdapterKey(NamedTuple):
    """Name an adapter of a base model; an empty adapter means the model itself."""

    model: str
    adapter: str

    def __str__(self) -> str:
        """Return the name that logs and callers use."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class AdapterCopyKey(NamedTuple):
    """Name one version of an adapter as an engine holds it."""

    model: str
    adapter: str
    version: int

    @property
    def key(self) -> AdapterKey:
        """Return the adapter without its version."""
        return AdapterKey(self.model, self.adapter)
