"""Store the files that the processes of a lab deployment share."""

import json
import os
import signal
from pathlib import Path
from typing import Any


class DeploymentFolder:
    """Store settings, process IDs and addresses as files.

    ``bench/processes.sh`` writes ``pids/NAME`` for each process that it starts, so
    that an experiment signals only these processes.
    """

    def __init__(self, path: Path) -> None:
        self._path = path

    @property
    def path(self) -> Path:
        """Return the folder."""
        return self._path

    def write(self, name: str, value: object) -> None:
        """Write a value to a JSON file atomically."""
        target = self._path / f"{name}.json"
        temporary = target.with_suffix(".draft")
        temporary.write_text(json.dumps(value, indent=1))
        temporary.rename(target)

    def read(self, name: str) -> Any:  # noqa: ANN401
        """Return the value stored in a JSON file."""
        return json.loads((self._path / f"{name}.json").read_text())

    def pid(self, name: str) -> int | None:
        """Return the ID of a started process, or None if none is recorded."""
        try:
            return int((self._path / "pids" / name).read_text())
        except (OSError, ValueError):
            return None

    def signal(self, name: str, number: signal.Signals) -> bool:
        """Signal a process that the script started; return whether it was running."""
        pid = self.pid(name)
        if pid is None:
            return False
        try:
            os.kill(pid, number)
        except ProcessLookupError:
            return False
        return True
