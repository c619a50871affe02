"""Keep what the processes of a deployment share."""

import json
import os
import signal
from pathlib import Path
from typing import Any


class DeploymentFolder:
    """Hold settings, process ids and addresses as files.

    A script writes ``pids/NAME`` for each process that it starts, so that an
    experiment can signal exactly these.
    """

    def __init__(self, path: Path) -> None:
        self._path = path

    @property
    def path(self) -> Path:
        """Return the folder."""
        return self._path

    def write(self, name: str, value: object) -> None:
        """Write a JSON file whole or not at all."""
        target = self._path / f"{name}.json"
        draft = target.with_suffix(".draft")
        draft.write_text(json.dumps(value, indent=1))
        draft.rename(target)

    def read(self, name: str) -> Any:  # noqa: ANN401
        """Return the value of a JSON file."""
        return json.loads((self._path / f"{name}.json").read_text())

    def pid(self, name: str) -> int | None:
        """Return the process id of a started process."""
        try:
            return int((self._path / "pids" / name).read_text())
        except (OSError, ValueError):
            return None

    def signal(self, name: str, number: signal.Signals) -> bool:
        """Signal a process that the script started; return whether it was there."""
        pid = self.pid(name)
        if pid is None:
            return False
        try:
            os.kill(pid, number)
        except ProcessLookupError:
            return False
        return True
