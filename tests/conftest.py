"""Make property tests deterministic, and pass over the listed known failures."""

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from gooseberrydeal._internal.lab.free_port import use_part_of_ports

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=int(os.environ.get("EXAMPLES", "60")),
    stateful_step_count=40,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("ci")

# Workers that run tests side by side take their ports from parts of the range.
_WORKERS = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
_WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
use_part_of_ports(_WORKER, _WORKERS)

_KNOWN_FAILURES = Path(__file__).parent.parent / "KNOWN-RED.txt"
_TEST_PREFIX = "Test: "


def _known_failures() -> list[str]:
    """Return the ids of the tests that are listed as failing."""
    lines = _KNOWN_FAILURES.read_text().splitlines()
    return [
        line[len(_TEST_PREFIX) :] for line in lines if line.startswith(_TEST_PREFIX)
    ]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    listed = set(_known_failures())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test in _known_failures():
        terminalreporter.write_line(f"known to fail: {test}")
