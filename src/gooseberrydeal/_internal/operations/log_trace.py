"""Find the log lines of all hosts that concern a request."""

import json
import logging
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any, Final

from gooseberrydeal._internal.models.log_line import LogLine

logger = logging.getLogger(__name__)

# Lines about a request's servers are included from this long before its first line to
# this long after its last: a crashed server's registration expires within this time.
_CONTEXT_SECONDS: Final = 4.0


class LogTrace:
    """Combine a request's log lines with those about the servers that it used."""

    def __init__(self, request: str, lines: Iterable[LogLine]) -> None:
        all_lines = list(lines)
        self._request_lines = [line for line in all_lines if line.request_id == request]
        self._server_lines = [line for line in all_lines if line.request_id is None]

    @classmethod
    def from_folder(cls, folder: Path, request: str) -> "LogTrace":
        """Read all log files of a folder; each file's stem is the name of its host."""
        return cls(request, _read_lines(sorted(folder.iterdir()), request))

    @property
    def is_known(self) -> bool:
        """Return whether any log line has the request's id."""
        return bool(self._request_lines)

    def timeline(self) -> Sequence[str]:
        """Return the lines in human-readable form, ordered by time."""
        if not self._request_lines:
            return []
        servers = {line.server for line in self._request_lines if line.server}
        begin = min(line.time for line in self._request_lines) - _CONTEXT_SECONDS
        end = max(line.time for line in self._request_lines) + _CONTEXT_SECONDS
        nearby = [
            line
            for line in self._server_lines
            if line.server in servers and begin <= line.time <= end
        ]
        return [
            str(line) for line in sorted([*self._request_lines, *nearby], key=_sort_key)
        ]


def _sort_key(line: LogLine) -> tuple[float, str]:
    return line.time, line.host


def _read_lines(paths: Iterable[Path], request: str) -> Iterator[LogLine]:
    """Yield the request's lines, and lines about servers that have no request id."""
    for path in paths:
        skipped = 0
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                try:
                    line = _parse_line(path.stem, json.loads(text))
                except (ValueError, KeyError, TypeError):
                    skipped += 1
                    continue
                is_about_server = line.request_id is None and line.server is not None
                if is_about_server or line.request_id == request:
                    yield line
        if skipped:
            logger.info(
                "%s: skipped %d lines that are not JSON log lines", path, skipped
            )


def _parse_line(host: str, data: dict[str, Any]) -> LogLine:
    return LogLine(
        float(data["time"]),
        host,
        str(data["message"]),
        data.get("request_id"),
        data.get("server"),
        data.get("reason"),
    )
