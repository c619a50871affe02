"""Check settings files with bounds that nothing can be computed with."""

from pathlib import Path

import pytest

from gooseberrydeal._internal.exceptions import SettingsError
from gooseberrydeal._internal.platform.boot_file import read_boot_file

_BOOT_FILE = """nodeName=edge-1
zone=d1
ip=10.1.0.38
listen.front=10.1.0.38:8149
listen.ready=10.1.0.38:8141
portRange=7380,7395
platform.address=10.200.1.7:8142
"""


@pytest.mark.parametrize("value", ["nan", "inf", "1e999", "-1", "9" * 400])
@pytest.mark.parametrize("name", ["budgetWindowS", "leaseMs"])
def test_bounds_that_cannot_be_computed_with_are_refused(
    tmp_path: Path, name: str, value: str
) -> None:
    # With a window of NaN, each request was closed without an answer.
    path = tmp_path / "boot.conf"
    path.write_text(f"{_BOOT_FILE}bounds.{name}={value}\n")
    with pytest.raises(SettingsError, match="not in the range"):
        read_boot_file(path)
