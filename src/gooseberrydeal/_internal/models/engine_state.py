"""Describe what an engine holds and runs."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class EngineState:
    """List the loaded copies by name with their paths, and requests running on each."""

    copies: dict[str, str]
    running: dict[str, int] = field(default_factory=dict)
