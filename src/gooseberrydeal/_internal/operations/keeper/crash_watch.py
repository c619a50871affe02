"""Distinguish an engine crash from a lost connection."""

import logging
from collections.abc import Callable, Sequence
from typing import Final

from gooseberrydeal._internal.exceptions import ServerError
from gooseberrydeal._internal.models.copy_state import CopyState
from gooseberrydeal._internal.network.interfaces.engine import Engine
from gooseberrydeal._internal.operations.keeper.engine_slots import EngineSlots
from gooseberrydeal._internal.operations.keeper.job import Job
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext

logger = logging.getLogger(__name__)

_SAME_CRASH_WINDOW_SECONDS: Final = 2.0


class CrashWatch:
    """Mark the requests that were running when an engine crashed as suspects.

    Failures of several requests within ``_SAME_CRASH_WINDOW_SECONDS`` count as one
    crash.
    """

    def __init__(
        self,
        server: str,
        engine: Engine,
        slots: EngineSlots,
        context: KeeperContext,
        on_unreachable: Callable[[], None],
    ) -> None:
        self._server = server
        self._engine = engine
        self._slots = slots
        self._context = context
        self._on_unreachable = on_unreachable
        self._recorded_at = float("-inf")

    async def check(self, jobs: Sequence[Job]) -> bool:
        """Return whether the engine has crashed; if so, mark the jobs as suspects.

        An engine counts as crashed if it is unreachable or has lost a loaded copy. The
        check is inconclusive, and returns ``False``, if the slots change meanwhile.
        """
        changes = self._slots.changes
        try:
            state = await self._engine.state()
        except ServerError:
            self._on_unreachable()
        else:
            if self._slots.changes != changes:
                return False
            expected = {
                c.name for c in self._slots.copies if c.state is CopyState.READY
            }
            if expected <= state.copies.keys():
                return False
            self._slots.reconcile(state, changes)
        self._record_crash(jobs)
        return True

    def _record_crash(self, jobs: Sequence[Job]) -> None:
        now = self._context.clock.monotonic()
        if now - self._recorded_at < _SAME_CRASH_WINDOW_SECONDS:
            return
        self._recorded_at = now
        logger.error(
            "engine crashed; requests running on it become crash suspects",
            extra={"server": self._server},
        )
        for job in jobs:
            if job.submit.fingerprint:
                self._context.share_suspect(
                    job.submit.fingerprint, self._server, len(jobs) == 1
                )
        self._context.report_changed()
