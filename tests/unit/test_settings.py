"""Explain every wrong setting."""

from pathlib import Path

import pytest
from typer.testing import CliRunner

from gooseberrydeal._internal.cli.entry import app as entry_app
from gooseberrydeal._internal.cli.keeper import app as keeper_app
from gooseberrydeal._internal.exceptions import SettingsError
from gooseberrydeal._internal.models.settings import EntrySettings
from gooseberrydeal._internal.utils.settings_file import load_settings

_RIGHT = """{
  // a comment
  "host": "h1", "domain": "d1",
  "listen": "127.0.0.1:8000", "operators": "127.0.0.1:8001",
  "keepers": ["127.0.0.1:7400"],  /* trailing comma */
}"""


def _write(folder: Path, text: str) -> Path:
    path = folder / "entry.json"
    path.write_text(text)
    return path


def test_comments_and_trailing_commas_are_allowed(tmp_path: Path) -> None:
    settings = load_settings(_write(tmp_path, _RIGHT), EntrySettings)
    assert settings.keepers == ("127.0.0.1:7400",)


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('"host"', '"hots"', "hots: unknown key"),
        ('"host": "h1",', "", "host: missing"),
        ('"127.0.0.1:8000"', '"localhost:8000"', "listen: "),
        ('"127.0.0.1:8000"', '"127.0.0.1"', "IP address and a port"),
        ('"127.0.0.1:8000"', '"127.0.0.1:99999"', "not between 1 and 65535"),
        ('["127.0.0.1:7400"]', "[]", "keepers: "),
        ('"h1"', "7", "host: "),
        ('"h1"', '"h 1"', "host: "),
        ('"domain": "d1",', '"domain": "d1", "body_bytes": "1 MB",', "body_bytes: "),
        ('"domain": "d1",', '"domain": "d1", "body_bytes": 5,', "body_bytes: "),
        ('"domain": "d1",', '"domain": "d1", "log_level": "loud",', "log_level: "),
        ("}", "", "not JSON with comments"),
    ],
)
def test_each_wrong_setting_is_named(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    path = _write(tmp_path, _RIGHT.replace(old, new, 1))
    with pytest.raises(SettingsError) as caught:
        load_settings(path, EntrySettings)
    assert expected in str(caught.value)
    assert str(path) in str(caught.value)


def test_checking_settings_starts_nothing(tmp_path: Path) -> None:
    path = _write(tmp_path, _RIGHT)
    result = CliRunner().invoke(entry_app, [str(path), "--check-settings"])
    assert result.exit_code == 0
    assert "correct" in result.output
    wrong = CliRunner().invoke(keeper_app, [str(path), "--check-settings"])
    assert wrong.exit_code == 2
    assert "platform: missing" in wrong.output
