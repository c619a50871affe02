"""Write what was sent, answered and run to the record of a case."""

import time
from pathlib import Path


class Record:
    """Append lines with the seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def seconds(self, at: float | None = None) -> float:
        return (time.monotonic() if at is None else at) - self._began

    def note(self, text: str, at: float | None = None) -> None:
        self._file.write(f"{self.seconds(at):8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()
