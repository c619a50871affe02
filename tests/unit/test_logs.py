"""Test the queueing log handler and its JSON lines."""

import io
import json
import logging
import threading
import time

import pytest

from gooseberrydeal._internal.utils.json_log import JsonLinesFormatter
from gooseberrydeal._internal.utils.log_queue import QueueingHandler


class _BlockingStream(io.StringIO):
    """Block every write until ``may_write`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.may_write = threading.Event()

    def write(self, text: str) -> int:
        self.may_write.wait()
        return super().write(text)


def _logger(handler: logging.Handler) -> logging.Logger:
    handler.setFormatter(JsonLinesFormatter())
    logger = logging.Logger("example")
    logger.addHandler(handler)
    return logger


def _lines(stream: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_lines_are_written_in_order() -> None:
    stream = io.StringIO()
    handler = QueueingHandler(stream)
    logger = _logger(handler)
    for number in range(50):
        logger.info("line %d", number, extra={"request_id": f"q{number}"})
    handler.close()
    lines = _lines(stream)
    assert [line["message"] for line in lines] == [f"line {n}" for n in range(50)]
    assert lines[7]["request_id"] == "q7"


def test_blocked_stream_does_not_block_the_logger() -> None:
    stream = _BlockingStream()
    handler = QueueingHandler(stream, max_queued_lines=10)
    logger = _logger(handler)
    for number in range(500):
        logger.info("line %d", number)
    stream.may_write.set()
    while not handler.is_idle:
        time.sleep(0.001)
    logger.info("last")
    handler.close()
    messages = [str(line["message"]) for line in _lines(stream)]
    written = sum(message.startswith("line ") for message in messages)
    dropped_counts = [
        int(message.split()[0])
        for message in messages
        if message.endswith("left out because their reader was too slow")
    ]
    assert written >= 9
    assert written + sum(dropped_counts) == 500
    assert messages[-1] == "last"


def test_closed_stream_stops_the_handler_without_an_exception(
    capsys: pytest.CaptureFixture[str],
) -> None:
    stream = io.StringIO()
    stream.close()
    handler = QueueingHandler(stream)
    logger = _logger(handler)
    logger.info("lost")
    handler.close()
    assert "no more log lines are written" in capsys.readouterr().err
