"""Reload the settings file while the program runs."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import fields, replace
from pathlib import Path
from typing import Final

from gooseberrydeal._internal.exceptions import SettingsError
from gooseberrydeal._internal.models.routing.host_settings import HostSettings

logger = logging.getLogger(__name__)

# The file may change without a signal. This is half of the time within which a changed
# configuration must be detected.
_POLL_INTERVAL_SECONDS: Final = 1.0
# The only field of the settings that can change without a restart.
_RELOADABLE_FIELD: Final = "bounds"


class SettingsFollower:
    """Reload the settings file on request and when its modification time changes.

    An invalid file is ignored and the last valid settings stay in use.
    """

    def __init__(
        self,
        path: Path,
        read: Callable[[Path], HostSettings],
        current: HostSettings,
        apply: Callable[[HostSettings], None],
    ) -> None:
        self._path = path
        self._read = read
        self._current = current
        self._apply = apply
        self._modified_at = self._modification_time()
        self._wake = asyncio.Event()

    def reload(self) -> None:
        """Request a reload, even if the file has not changed."""
        self._wake.set()

    async def run(self) -> None:
        """Watch the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_POLL_INTERVAL_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                if self._modification_time() == self._modified_at:
                    continue
            self._wake.clear()
            self._modified_at = self._modification_time()
            self._load_file()

    def _load_file(self) -> None:
        try:
            reloaded = self._read(self._path)
        except SettingsError as error:
            logger.warning("settings not reloaded, keeping the current ones: %s", error)
            return
        previous = self._current
        changed = [
            field.name
            for field in fields(HostSettings)
            if getattr(reloaded, field.name) != getattr(previous, field.name)
        ]
        not_applied = [name for name in changed if name != _RELOADABLE_FIELD]
        logger.info(
            "settings reloaded, changed fields: %s", ", ".join(changed) or "none"
        )
        if not_applied:
            logger.warning(
                "restart required to apply changed fields: %s", ", ".join(not_applied)
            )
        self._current = replace(previous, bounds=reloaded.bounds)
        self._apply(self._current)

    def _modification_time(self) -> int | None:
        """Return the file's modification time in ns, ``None`` if it cannot be read."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return None
