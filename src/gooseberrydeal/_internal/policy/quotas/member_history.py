"""Choose each account's allocator among the hosts, and keep which hosts were known."""

import math
from collections import deque
from collections.abc import Set as AbstractSet
from hashlib import blake2b
from typing import Final

from gooseberrydeal._internal.models.ids import AccountName, HostId
from gooseberrydeal._internal.utils.rendezvous import first, weight

# A host spends its larger reserve only while what it knows of the hosts is newer.
MAX_RESERVE_AGE_SECONDS: Final = 60.0
# Reserves are divided by all hosts that were known within this time: those that may
# still spend theirs in the same window, although the store no longer lists them.
_KEPT_SECONDS: Final = 75.0
# The list counts as complete only if no host has left it within this time. A host that
# left may have been cut off from the store, and may be listed again where this one
# does not see it.
_LEFT_SECONDS: Final = 600.0
_DIGEST_BYTES: Final = 6


class MemberHistory:
    """Hold the hosts in the metadata store, and those of the last minute.

    With ``is_first_start``, no earlier process of this host can have run.
    """

    def __init__(
        self, own: HostId, now: float, *, is_first_start: bool = False
    ) -> None:
        self._own = own
        self._started_at = now
        self._is_first_start = is_first_start
        self._hosts: frozenset[HostId] = frozenset()
        self._views: deque[tuple[float, frozenset[HostId]]] = deque()
        self._left: dict[HostId, float] = {}
        self._allocators: dict[AccountName, HostId | None] = {}
        self._first_since: dict[AccountName, float] = {}
        self._digest: int | None = None

    @property
    def hosts(self) -> frozenset[HostId]:
        """Return the hosts that are known."""
        return self._hosts

    @property
    def digest(self) -> int:
        """Return a number other than 0 that differs for other sets of hosts."""
        if self._digest is None:
            names = "\0".join(sorted(self._hosts)).encode()
            digest = blake2b(names, digest_size=_DIGEST_BYTES).digest()
            self._digest = int.from_bytes(digest, "big") + 1
        return self._digest

    def note(self, hosts: AbstractSet[HostId], now: float) -> bool:
        """Take in which hosts the store lists; return whether that changed."""
        if hosts == self._hosts:
            return False
        found = frozenset(hosts)
        oldest = now - _LEFT_SECONDS
        left = {h: at for h, at in self._left.items() if at >= oldest}
        left.update(dict.fromkeys(self._hosts - found, now))
        self._left = {host: at for host, at in left.items() if host not in found}
        self._hosts = found
        self._views.append((now, found))
        while len(self._views) > 1 and self._views[1][0] < now - _KEPT_SECONDS:
            self._views.popleft()
        self._allocators.clear()
        self._first_since.clear()
        self._digest = None
        return True

    def restart(self, now: float) -> None:
        """Count as allocator of no account before ``now``.

        The store may have listed this host no more for some time before.
        """
        self._views.clear()
        self._views.append((now, self._hosts))
        self._first_since.clear()

    def allocator(self, account: AccountName) -> HostId | None:
        """Return the host that grants an account's tokens, ``None`` without hosts."""
        if account not in self._allocators:
            found = first(account, self._hosts)
            self._allocators[account] = None if found is None else HostId(found)
        return self._allocators[account]

    def first_since(self, account: AccountName) -> float:
        """Return since when this host is the allocator of an account.

        The time is infinite if it is not.
        """
        since = self._first_since.get(account)
        if since is None:
            since = self._first_since[account] = self._find_first_since(account)
        return since

    def reserve_hosts(self, now: float, read_age: float) -> int | None:
        """Return by how many hosts reserves are divided.

        Returns ``None`` if this host may not know all: it started less than a minute
        ago, or the hosts were read from the store ``read_age`` seconds ago.
        """
        is_settled = now - self._started_at >= _KEPT_SECONDS
        if not is_settled or read_age > MAX_RESERVE_AGE_SECONDS:
            return None
        oldest = now - _KEPT_SECONDS
        left = sum(at >= oldest for at in self._left.values())
        return len(self._hosts) + left or None

    def is_complete(self, now: float) -> bool:
        """Return whether no host has left the list lately."""
        oldest = now - _LEFT_SECONDS
        return all(at < oldest for at in self._left.values())

    def may_use_reserve(self, window: float, now: float) -> bool:
        """Return whether an earlier process can't have used the reserve in a window."""
        return self._is_first_start or now - self._started_at > window

    def _find_first_since(self, account: AccountName) -> float:
        if self.allocator(account) != self._own:
            return math.inf
        own = weight(account, self._own)
        known = frozenset[HostId]().union(*(hosts for _, hosts in self._views))
        preferred = {h for h in known - self._hosts if weight(account, h) > own}
        since = math.inf
        for at, hosts in reversed(self._views):
            if self._own not in hosts or hosts & preferred:
                break
            since = at
        return since
