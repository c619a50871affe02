"""Define the state that an engine reports."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class EngineState:
    """Describe the adapter copies on an engine and their use.

    ``copies`` maps the names of the loaded copies to the paths of their weights, and
    ``running`` maps names to the numbers of requests that run on them.
    """

    copies: dict[str, str]
    running: dict[str, int] = field(default_factory=dict)
