"""Define the reference to one version of an adapter."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import (
    AdapterName,
    FencingNumber,
    VersionName,
)


@dataclass(frozen=True, slots=True, order=True)
class AdapterRef:
    """Identify the adapter version that a requested model name resolved to."""

    name: AdapterName
    version: VersionName

    def __str__(self) -> str:
        """Return ``name@version``."""
        return f"{self.name}@{self.version}"

    def copy_name(self, fencing: FencingNumber) -> str:
        """Return the name under which an owner loads this version on an engine.

        The owner's fencing number keeps it distinct from the copies of other owners.
        """
        return f"{self}~{fencing}"

    @classmethod
    def from_copy_name(cls, copy: str) -> "AdapterRef | None":
        """Return the adapter version that a copy holds.

        Returns ``None`` if the name has not the form of :meth:`copy_name`.
        """
        full, separator, _ = copy.rpartition("~")
        name, at, version = full.partition("@")
        if not separator or not at:
            return None
        return cls(AdapterName(name), VersionName(version))
