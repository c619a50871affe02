"""Compare a server's latency with that of its peers."""

import logging
from typing import Final

from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.policy.pace_tracker import LatencyTracker, baseline_of

logger = logging.getLogger(__name__)

_BASELINE_INTERVAL_SECONDS: Final = 1.0
_REFUSE_WAITING_SLOWDOWN: Final = 3.0


class LatencyMonitor:
    """Derive the latency baseline from the peers, and detect when the server is slow.

    Peers are the other servers of the same service.
    """

    def __init__(
        self, context: KeeperContext, latency: LatencyTracker, declared: BackendServer
    ) -> None:
        self._context = context
        self._latency = latency
        self._declared = declared
        self._baseline_updated_at = 0.0
        self._last_slowdown = 1.0

    def update_baseline(self, now: float) -> None:
        """Set the baseline to the latencies that the peers report."""
        if now - self._baseline_updated_at < _BASELINE_INTERVAL_SECONDS:
            return
        self._baseline_updated_at = now
        configuration = self._context.configuration()
        peers = [
            report
            for name, report in self._context.view.servers.items()
            if name != self._declared.name
            and (found := configuration.server(name)) is not None
            and found.service == self._declared.service
        ]
        first = baseline_of(
            (r.first_seconds for r in peers), self._latency.baseline_first
        )
        gap = baseline_of((r.gap_seconds for r in peers), self._latency.baseline_gap)
        self._latency.set_baseline(first, gap)

    def became_slow(self, now: float) -> bool:
        """Return whether the server has become slow since the last call.

        The caller then refuses the waiting jobs, so that they can run on a peer.
        """
        slowdown = self._latency.slowdown(now)
        previous, self._last_slowdown = self._last_slowdown, slowdown
        if (slowdown > 1.0) != (previous > 1.0):
            logger.info(
                "server latency changed to %.1f times that of its peers",
                slowdown,
                extra={"server": self._declared.name},
            )
            self._context.report_changed()
        return slowdown >= _REFUSE_WAITING_SLOWDOWN > previous
