"""Describe a generation of the engine stand-in."""

import asyncio
from dataclasses import dataclass, field


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
