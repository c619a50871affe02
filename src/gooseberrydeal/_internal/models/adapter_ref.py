"""Name an adapter at one version."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import (
    AdapterName,
    FencingNumber,
    VersionName,
)


@dataclass(frozen=True, slots=True, order=True)
class AdapterRef:
    """Identify what a request asked for, resolved once."""

    name: AdapterName
    version: VersionName

    def __str__(self) -> str:
        """Return ``name@version``."""
        return f"{self.name}@{self.version}"

    def copy_name(self, fencing: FencingNumber) -> str:
        """Return the name of the copy that one owner loads."""
        return f"{self}~{fencing}"

    @classmethod
    def from_copy_name(cls, copy: str) -> "AdapterRef | None":
        """Return what a copy holds, or ``None`` for a foreign name."""
        full, separator, _ = copy.rpartition("~")
        name, at, version = full.partition("@")
        if not separator or not at:
            return None
        return cls(AdapterName(name), VersionName(version))
