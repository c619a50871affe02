"""Decide whether the other hosts know the same hosts as this one."""

from collections.abc import Collection
from typing import Final

from gooseberrydeal._internal.models.ids import HostId

# A host grants only while its list of hosts was read from the store within this time,
# or while all hosts in it said so lately that theirs is the same.
MAX_LIST_AGE_SECONDS: Final = 2.0
# A host that becomes allocator waits for longer than another one may still grant.
TAKEOVER_SECONDS: Final = 3.0
# With a list that is older, a host begins to ask the others. The store is read every
# 1.8 s where hosts have 3 s to act on its changes, so that a list between two reads is
# newer than this.
ASK_AFTER_SECONDS: Final = 1.9
# A host that registered anew in the store goes on at once if all others confirmed the
# list within this time: one that took over since then still waits.
FRESH_CONFIRMATION_SECONDS: Final = 1.0
# Hosts are asked again from this time after they confirmed the list, so that a lost
# datagram leaves time for others. At most so many are asked per second, which limits
# what an outage of the store costs in large deployments.
_RENEWED_AFTER_SECONDS: Final = 0.7
_MAX_ASKED_PER_SECOND: Final = 250.0
_RETRY_SECONDS: Final = 0.3


class AllocatorStanding:
    """Hold which hosts confirmed that they know the same hosts as this one.

    Times are those at which a host was asked, since its answer may be delayed.
    """

    def __init__(self) -> None:
        self._digest = 0
        self._asked: dict[int, tuple[HostId, float]] = {}
        self._asked_at: dict[HostId, float] = {}
        self._confirmed_at: dict[HostId, float] = {}

    def is_confirmed(
        self, others: Collection[HostId], now: float, within: float
    ) -> bool:
        """Return whether all others confirmed the list when asked ``within`` seconds.

        Nothing is confirmed before the first host was asked.
        """
        oldest = now - within
        return self._digest != 0 and all(
            self._confirmed_at.get(host, oldest) > oldest for host in others
        )

    def to_ask(
        self, others: Collection[HostId], digest: int, list_age: float, now: float
    ) -> list[HostId]:
        """Return the hosts that should confirm the list now.

        None are asked while the store answers, since the list is recent then.
        """
        if list_age <= ASK_AFTER_SECONDS:
            digest = 0
        if digest != self._digest:
            self._digest = digest
            self._asked.clear()
            self._asked_at.clear()
            self._confirmed_at.clear()
        if digest == 0:
            return []
        period = max(_RENEWED_AFTER_SECONDS, len(others) / _MAX_ASKED_PER_SECOND)
        renewed_before = now - period
        asked_before = now - _RETRY_SECONDS
        return [
            host
            for host in others
            if self._confirmed_at.get(host, renewed_before) <= renewed_before
            and self._asked_at.get(host, asked_before) <= asked_before
        ]

    def asked(self, host: HostId, sequence: int, now: float) -> None:
        """Note that a host was asked."""
        self._asked_at[host] = now
        self._asked[sequence] = (host, now)
        expired = now - MAX_LIST_AGE_SECONDS
        while self._asked and (oldest := next(iter(self._asked))) != sequence:
            if self._asked[oldest][1] > expired:
                break
            del self._asked[oldest]

    def answered(self, host: HostId, sequence: int, digest: int) -> None:
        """Note the digest of the hosts that another host knows."""
        asked_host, asked_at = self._asked.pop(sequence, (None, 0.0))
        if asked_host != host:
            return
        if digest == self._digest:
            self._confirmed_at[host] = asked_at
        else:
            self._confirmed_at.pop(host, None)
