"""Find the lines that explain a request in the logs of all hosts."""

import json
import logging
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any, Final

from gooseberrydeal._internal.models.log_line import LogLine

logger = logging.getLogger(__name__)

# Lines on the servers that a request met count from so long before its first line to so
# long after its last: an entry of a server that crashed lapses within this time.
_AROUND_SECONDS: Final = 4.0


class LogTrace:
    """Join a request's lines with those on the servers that it met."""

    def __init__(self, request: str, lines: Iterable[LogLine]) -> None:
        kept = list(lines)
        self._own = [line for line in kept if line.request_id == request]
        self._others = [line for line in kept if line.request_id is None]

    @classmethod
    def from_folder(cls, folder: Path, request: str) -> "LogTrace":
        """Read all files of a folder; the name of each is its host's."""
        return cls(request, _read(sorted(folder.iterdir()), request))

    @property
    def is_known(self) -> bool:
        """Return whether any line names the request."""
        return bool(self._own)

    def timeline(self) -> Sequence[str]:
        """Return the lines for people, in order of time."""
        if not self._own:
            return []
        servers = {line.server for line in self._own if line.server}
        begin = min(line.time for line in self._own) - _AROUND_SECONDS
        end = max(line.time for line in self._own) + _AROUND_SECONDS
        around = [
            line
            for line in self._others
            if line.server in servers and begin <= line.time <= end
        ]
        return [str(line) for line in sorted([*self._own, *around], key=_order)]


def _order(line: LogLine) -> tuple[float, str]:
    return line.time, line.host


def _read(paths: Iterable[Path], request: str) -> Iterator[LogLine]:
    """Yield the request's lines, and those on servers that concern no request."""
    for path in paths:
        skipped = 0
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                try:
                    line = _line(path.stem, json.loads(text))
                except (ValueError, KeyError, TypeError):
                    skipped += 1
                    continue
                is_about_server = line.request_id is None and line.server is not None
                if is_about_server or line.request_id == request:
                    yield line
        if skipped:
            logger.info("%s: %d lines are not log lines", path, skipped)


def _line(host: str, data: dict[str, Any]) -> LogLine:
    return LogLine(
        float(data["time"]),
        host,
        str(data["message"]),
        data.get("request_id"),
        data.get("server"),
        data.get("reason"),
    )
