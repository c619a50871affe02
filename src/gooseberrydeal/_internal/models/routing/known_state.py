"""Define what hosts know and the metadata store lacks."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey


@dataclass(frozen=True, slots=True)
class ConfigurationSource:
    """Hold the key and value from which a configuration was decoded."""

    key: str
    value: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class KnownState:
    """Hold acknowledged changes that the store lost when it was restored from a copy.

    ``epoch`` is the store's epoch to which this applies; ``is_settled`` says that all
    hosts had time to add what they know. ``versions`` maps adapters to their newest
    declared version, ``departed`` maps servers that left, but are listed, to the start
    of the listed entry in Unix milliseconds.
    """

    epoch: int
    is_settled: bool
    configuration: ConfigurationSource | None = None
    versions: Mapping[AdapterKey, int] = field(default_factory=dict)
    departed: Mapping[ServerId, int] = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether the store lacks nothing."""
        return not (self.configuration or self.versions or self.departed)
