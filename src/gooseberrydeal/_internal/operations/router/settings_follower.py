"""Take changes of the settings file over while the program runs."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import fields, replace
from pathlib import Path
from typing import Final

from gooseberrydeal._internal.exceptions import SettingsError
from gooseberrydeal._internal.models.routing.host_settings import HostSettings

logger = logging.getLogger(__name__)

# A file may change without a signal; half of the time in which a change of the
# configuration must be known.
_LOOK_SECONDS: Final = 1.0
# What the program can change while it runs.
_CHANGEABLE: Final = "bounds"


class SettingsFollower:
    """Read the file when it has changed or a signal says so, and keep the last good."""

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
        self._changed_at = self._stamp()
        self._wake = asyncio.Event()

    def reload(self) -> None:
        """Read the file soon, whether it has changed or not."""
        self._wake.set()

    async def run(self) -> None:
        """Follow the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_LOOK_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                if self._stamp() == self._changed_at:
                    continue
            self._wake.clear()
            self._changed_at = self._stamp()
            self._take()

    def _take(self) -> None:
        try:
            found = self._read(self._path)
        except SettingsError as error:
            logger.warning("settings not reloaded, the old ones stay: %s", error)
            return
        old = self._current
        changed = [
            field.name
            for field in fields(HostSettings)
            if getattr(found, field.name) != getattr(old, field.name)
        ]
        fixed = [name for name in changed if name != _CHANGEABLE]
        logger.info("settings reloaded, changed: %s", ", ".join(changed) or "nothing")
        if fixed:
            logger.warning("taken up at the next start: %s", ", ".join(fixed))
        self._current = replace(old, bounds=found.bounds)
        self._apply(self._current)

    def _stamp(self) -> int | None:
        """Return when the file was changed, ``None`` if it can't be told."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return None
