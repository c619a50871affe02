"""Format log records as JSON lines."""

import json
import logging
import sys
from typing import Final, TextIO

from gooseberrydeal._internal.utils.log_queue import QueueingHandler

_CONTEXT_FIELDS: Final = (
    "request_id",
    "adapter",
    "adapter_version",
    "server",
    "host",
    "reason",
    "caller",
    "revision",
    "epoch",
    "prompt_parts",
)


class JsonLinesFormatter(logging.Formatter):
    """Format each record as a JSON object on a line, with the known context fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a JSON object without a trailing newline."""
        line: dict[str, object] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        for field in _CONTEXT_FIELDS:
            value = record.__dict__.get(field)
            if value is not None:
                line[field] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, ensure_ascii=False)


def configure_logging(level: str, stream: TextIO = sys.stdout) -> None:
    """Configure the root logger to write JSON lines to a stream from a thread."""
    handler = QueueingHandler(stream)
    handler.setFormatter(JsonLinesFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for library in (
        "uvicorn.access",
        "uvicorn.error",
        "websockets",
        "transitions",
    ):
        logging.getLogger(library).setLevel(logging.ERROR)
