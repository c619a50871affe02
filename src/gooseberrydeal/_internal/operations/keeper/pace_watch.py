"""Compare a server's pace with that of its service."""

import logging
from typing import Final

from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.policy.pace_tracker import PaceTracker, baseline_of

logger = logging.getLogger(__name__)

_LEARN_SECONDS: Final = 1.0
_GIVE_BACK_RATIO: Final = 3.0


class PaceWatch:
    """Learn what is usual from the peers, and notice when the server falls behind."""

    def __init__(
        self, context: KeeperContext, pace: PaceTracker, declared: BackendServer
    ) -> None:
        self._context = context
        self._pace = pace
        self._declared = declared
        self._learned_at = 0.0
        self._last = 1.0

    def learn(self, now: float) -> None:
        """Take the pace of the service's other servers as the usual one."""
        if now - self._learned_at < _LEARN_SECONDS:
            return
        self._learned_at = now
        configuration = self._context.configuration()
        peers = [
            report
            for name, report in self._context.view.servers.items()
            if name != self._declared.name
            and (found := configuration.server(name)) is not None
            and found.service == self._declared.service
        ]
        first = baseline_of((r.first_seconds for r in peers), self._pace.baseline_first)
        gap = baseline_of((r.gap_seconds for r in peers), self._pace.baseline_gap)
        self._pace.set_baseline(first, gap)

    def has_fallen_behind(self, now: float) -> bool:
        """Return whether waiting work should now be given back."""
        slowdown = self._pace.slowdown(now)
        before, self._last = self._last, slowdown
        if (slowdown > 1.0) != (before > 1.0):
            logger.info(
                "pace changed to %.1f", slowdown, extra={"server": self._declared.name}
            )
            self._context.report_changed()
        return slowdown >= _GIVE_BACK_RATIO > before
