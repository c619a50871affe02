"""Tell an engine's crash from a cut connection."""

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

_SAME_CRASH_SECONDS: Final = 2.0


class CrashWatch:
    """Suspect the requests that ran on an engine when it crashed."""

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
        self._noted_at = float("-inf")

    async def check(self, jobs: Sequence[Job]) -> bool:
        """Return whether the engine has crashed, and suspect the jobs that ran."""
        changes = self._slots.changes
        try:
            state = await self._engine.state()
        except ServerError:
            self._on_unreachable()
        else:
            if self._slots.changes != changes:
                return False
            known = {c.name for c in self._slots.copies if c.state is CopyState.READY}
            if known <= state.copies.keys():
                return False
            self._slots.reconcile(state, changes)
        self._note(jobs)
        return True

    def _note(self, jobs: Sequence[Job]) -> None:
        now = self._context.clock.monotonic()
        if now - self._noted_at < _SAME_CRASH_SECONDS:
            return
        self._noted_at = now
        logger.error("engine crashed", extra={"server": self._server})
        for job in jobs:
            if job.submit.fingerprint:
                self._context.share_suspect(
                    job.submit.fingerprint, self._server, len(jobs) == 1
                )
        self._context.report_changed()
