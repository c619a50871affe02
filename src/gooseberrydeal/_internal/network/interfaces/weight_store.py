"""Define the interface to the weight store."""

from typing import Protocol


class WeightStore(Protocol):
    """Look up adapter weights."""

    async def exists(self, path: str) -> bool | None:
        """Return whether the weights exist, ``None`` if that is not known."""
        ...
