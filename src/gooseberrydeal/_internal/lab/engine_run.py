"""Track the generation of one answer by the engine stand-in."""

import asyncio
from dataclasses import dataclass, field
from typing import Final

_MAX_RETAINED_RUNS: Final = 256


@dataclass
class EngineRun:
    """Hold the words of an answer and the progress of its generation.

    ``produced`` counts the words generated so far and ``readers`` the open streams.
    ``has_left_batch`` is set when the run has ended and freed its batch slot.
    """

    copy: str
    is_chat: bool
    words: list[str]
    produced: int = 0
    is_cancelled: bool = False
    readers: int = 0
    has_left_batch: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_done(self) -> bool:
        """Return whether the run is cancelled or fully generated."""
        return self.is_cancelled or self.produced >= len(self.words)

    def notify_readers(self) -> None:
        """Wake the streams that wait for more words."""
        event = self.changed
        self.changed = asyncio.Event()
        event.set()


def evict_finished_runs(runs: dict[str, EngineRun]) -> None:
    """Remove the oldest finished runs until there is room for one more.

    Active runs are never removed, so the limit can be exceeded.
    """
    while len(runs) >= _MAX_RETAINED_RUNS:
        finished = next((key for key, run in runs.items() if run.has_left_batch), None)
        if finished is None:
            return
        del runs[finished]
