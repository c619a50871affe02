"""Check that a running program reloads its settings file when it changes."""

import asyncio
import os
from pathlib import Path

import pytest

from gooseberrydeal._internal.models.routing.host_settings import HostSettings
from gooseberrydeal._internal.operations.router.settings_follower import (
    SettingsFollower,
)
from gooseberrydeal._internal.platform.boot_file import read_boot_file
from gooseberrydeal._internal.utils.tasks import TaskOwner
from tests.lib.virtual_loop import run_virtual

_TEXT = """
nodeName=n1
ip=10.1.0.1
zone=z1
listen.front=10.1.0.1:80
listen.ready=10.1.0.1:81
portRange=7380,7395
platform.address=10.9.0.1:90
bounds.graceS=8
"""


class _SettingsFile:
    """Hold a settings file and the follower that reloads it."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "boot.conf"
        self._modified_ns = 1
        self.write(_TEXT)
        self.applied: list[HostSettings] = []
        settings = read_boot_file(self.path)
        self.follower = SettingsFollower(
            self.path, read_boot_file, settings, self.applied.append
        )
        self.tasks = TaskOwner()
        self.tasks.start(self.follower.run(), "settings")

    def write(self, text: str) -> None:
        self.path.write_text(text)
        self._modified_ns += 1
        os.utime(self.path, ns=(self._modified_ns, self._modified_ns))


def test_a_changed_file_is_reloaded_without_a_signal(tmp_path: Path) -> None:
    async def scenario() -> None:
        settings_file = _SettingsFile(tmp_path)
        await asyncio.sleep(3.0)
        assert settings_file.applied == []
        settings_file.write(_TEXT.replace("graceS=8", "graceS=5"))
        await asyncio.sleep(2.0)
        assert [settings.bounds.grace for settings in settings_file.applied] == [5.0]
        await settings_file.tasks.stop()

    run_virtual(scenario())


def test_a_bad_file_keeps_the_old_settings(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        settings_file = _SettingsFile(tmp_path)
        settings_file.write("nodeName=n1")
        settings_file.follower.reload()
        await asyncio.sleep(0.1)
        assert settings_file.applied == []
        settings_file.write(_TEXT.replace("z1", "z2").replace("graceS=8", "graceS=6"))
        settings_file.follower.reload()
        await asyncio.sleep(0.1)
        assert [settings.bounds.grace for settings in settings_file.applied] == [6.0]
        assert settings_file.applied[0].domain == "z1"
        await settings_file.tasks.stop()

    caplog.set_level("INFO")
    run_virtual(scenario())
    assert [r.message for r in caplog.records if r.levelname == "WARNING"] == [
        f"settings not reloaded, keeping the current ones: {tmp_path}/boot.conf:"
        " ip is missing",
        "restart required to apply changed fields: domain",
    ]
