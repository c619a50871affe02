"""Share crash suspects with peers."""

import contextlib
from typing import Final

from gooseberrydeal._internal.exceptions import PeerLostError
from gooseberrydeal._internal.models.messages.suspect_notice import SuspectNotice
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.peers import Peers
from gooseberrydeal._internal.utils.tasks import TaskOwner

_SAME_CRASH_SECONDS: Final = 1.0
_REMEMBERED_SECONDS: Final = 60.0


class SuspectSharing:
    """Pass each notice on once, so that it reaches every keeper over the relays."""

    def __init__(self, context: KeeperContext, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._passed_on: dict[tuple[str, str], float] = {}
        self._tasks = TaskOwner()

    def share(self, fingerprint: str, server: str, was_alone: bool) -> None:
        """Note a suspect of this keeper and tell the peers."""
        self.received(SuspectNotice(fingerprint, server, 0.0, was_alone))

    def received(self, notice: SuspectNotice) -> None:
        """Take a notice, and pass it on if it is new."""
        now = self._context.clock.monotonic()
        key = (notice.fingerprint, notice.server)
        happened = now - notice.seconds_ago
        if happened <= self._passed_on.get(key, float("-inf")) + _SAME_CRASH_SECONDS:
            return
        self._passed_on = {
            known: time
            for known, time in self._passed_on.items()
            if now - time < _REMEMBERED_SECONDS
        }
        self._passed_on[key] = happened
        self._context.suspects.note_crash(
            notice.fingerprint, notice.server, happened, was_alone=notice.was_alone
        )
        self._tasks.start(self._send(notice), "share suspect")

    async def stop(self) -> None:
        """End."""
        await self._tasks.stop()

    async def _send(self, notice: SuspectNotice) -> None:
        for connection in self._peers.with_role("keeper"):
            with contextlib.suppress(PeerLostError):
                await connection.send(notice)
