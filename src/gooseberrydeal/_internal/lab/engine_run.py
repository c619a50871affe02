"""Describe a generation of the engine stand-in."""

import asyncio
from dataclasses import dataclass, field
from typing import Final

_KEPT_RUNS: Final = 256


@dataclass
class EngineRun:
    """Hold the words of an answer and how far it has come."""

    copy: str
    is_chat: bool
    words: list[str]
    produced: int = 0
    is_cancelled: bool = False
    readers: int = 0
    has_left: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_done(self) -> bool:
        """Return whether nothing more is generated."""
        return self.is_cancelled or self.produced >= len(self.words)

    def signal(self) -> None:
        """Wake the readers."""
        event = self.changed
        self.changed = asyncio.Event()
        event.set()


def forget_old_runs(runs: dict[str, EngineRun]) -> None:
    """Make room for a further run, dropping ended ones only."""
    while len(runs) >= _KEPT_RUNS:
        ended = next((key for key, run in runs.items() if run.has_left), None)
        if ended is None:
            return
        del runs[ended]
