"""Share crash suspects among the keepers."""

import contextlib
from typing import Final

from gooseberrydeal._internal.exceptions import PeerLostError
from gooseberrydeal._internal.models.messages.suspect_notice import SuspectNotice
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.peers import Peers
from gooseberrydeal._internal.utils.tasks import TaskOwner

_SAME_CRASH_SECONDS: Final = 1.0
_NOTICE_RETENTION_SECONDS: Final = 60.0


class SuspectSharing:
    """Forward each notice once, so that it reaches every keeper.

    Keepers of different failure domains are connected only through relays, so every
    keeper forwards the notices that it receives.
    """

    def __init__(self, context: KeeperContext, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._forwarded: dict[tuple[str, str], float] = {}
        self._tasks = TaskOwner()

    def share(self, fingerprint: str, server: str, was_alone: bool) -> None:
        """Record a suspect that this keeper has detected and notify the peers."""
        self.received(SuspectNotice(fingerprint, server, 0.0, was_alone))

    def received(self, notice: SuspectNotice) -> None:
        """Record and forward a notice, unless its crash is already known."""
        now = self._context.clock.monotonic()
        key = (notice.fingerprint, notice.server)
        crashed_at = now - notice.seconds_ago
        if crashed_at <= self._forwarded.get(key, float("-inf")) + _SAME_CRASH_SECONDS:
            return
        self._forwarded = {
            known_key: known_at
            for known_key, known_at in self._forwarded.items()
            if now - known_at < _NOTICE_RETENTION_SECONDS
        }
        self._forwarded[key] = crashed_at
        self._context.suspects.note_crash(
            notice.fingerprint, notice.server, crashed_at, was_alone=notice.was_alone
        )
        self._tasks.start(self._send(notice), "share suspect")

    async def stop(self) -> None:
        """Stop sending notices."""
        await self._tasks.stop()

    async def _send(self, notice: SuspectNotice) -> None:
        for connection in self._peers.with_role("keeper"):
            with contextlib.suppress(PeerLostError):
                await connection.send(notice)
