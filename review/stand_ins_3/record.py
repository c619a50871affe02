"""Write what a case sends, gets and runs to its record."""

import time
from pathlib import Path


class Record:
    """Keep lines with the time since the start of the case, in seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self._began_at

    def note(self, text: str) -> None:
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()
