"""Check the command that traces a request through the logs of all hosts."""

import json
from pathlib import Path

from typer.testing import CliRunner, Result

from gooseberrydeal._internal.cli.ctl import app
from gooseberrydeal._internal.status_codes import ExitCode


def _write_log(folder: Path, host: str, *lines: dict[str, object]) -> None:
    text = "\n".join(json.dumps({"level": "info", **line}) for line in lines)
    (folder / f"{host}.log").write_text(f"{text}\nnot a log line\n")


def _trace(folder: Path, request: str) -> Result:
    return CliRunner().invoke(app, ["trace", request, "--logs", str(folder)])


def test_the_lines_of_a_request_and_its_servers_are_joined(tmp_path: Path) -> None:
    _write_log(
        tmp_path,
        "h1",
        {"time": 99.0, "message": "a server has left", "server": "i-2"},
        {"time": 100.2, "message": "attempt cut", "request_id": "q1", "server": "i-1"},
        {"time": 100.3, "message": "attempt cut", "request_id": "q2", "server": "i-1"},
        {"time": 150.0, "message": "a server has left", "server": "i-1"},
    )
    _write_log(
        tmp_path,
        "h2",
        {"time": 100.1, "message": "no report", "server": "i-1"},
        {"time": 102.0, "message": "a server has left", "server": "i-1"},
    )
    result = _trace(tmp_path, "q1")
    assert result.exit_code == 0
    assert result.stdout.splitlines() == [
        "100.100 h2 i-1: no report",
        "100.200 h1 q1: attempt cut at i-1",
        "102.000 h2 i-1: a server has left",
    ]


def test_an_unknown_request_is_reported(tmp_path: Path) -> None:
    _write_log(tmp_path, "h1", {"time": 1.0, "message": "started"})
    result = _trace(tmp_path, "q9")
    assert result.exit_code == ExitCode.FAILED
    assert "no line names q9" in result.output
