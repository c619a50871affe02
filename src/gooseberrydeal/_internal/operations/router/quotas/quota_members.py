"""Follow which hosts the metadata store lists, for the allocators of quotas."""

import logging
import math
from collections.abc import Callable

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.policy.quotas.allocator_standing import (
    FRESH_CONFIRMATION_SECONDS,
    MAX_LIST_AGE_SECONDS,
    AllocatorStanding,
)
from gooseberrydeal._internal.policy.quotas.member_history import MemberHistory

logger = logging.getLogger(__name__)


class QuotaMembers:
    """Hold the listed hosts, how recent the list is, and who confirmed it.

    ``clock`` also runs while the host is suspended, ``monotonic`` is the clock of the
    view. ``has_lease`` returns whether the store still lists this host for certain.
    """

    def __init__(
        self,
        membership: HostMembership,
        view: MetadataView,
        has_lease: Callable[[], bool],
        clock: Callable[[], float],
        monotonic: Callable[[], float],
        *,
        is_first_start: bool,
    ) -> None:
        self._membership = membership
        self._view = view
        self._has_lease = has_lease
        self._clock = clock
        self._monotonic = monotonic
        self._read_until = -math.inf
        self._read_at = -math.inf
        self.history = MemberHistory(
            membership.host, clock(), is_first_start=is_first_start
        )
        self.standing = AllocatorStanding()

    @property
    def own(self) -> HostId:
        """Return this host."""
        return self._membership.host

    @property
    def others(self) -> frozenset[HostId]:
        """Return the other hosts that are listed."""
        return self.history.hosts - {self.own}

    @property
    def _has_accounts(self) -> bool:
        configuration = self._view.configuration
        return configuration is not None and configuration.accounts is not None

    def address(self, host: HostId) -> str | None:
        """Return where a host receives datagrams, ``None`` if it is not known."""
        found = self._view.hosts.get(host)
        return None if found is None else found.address

    def list_age(self) -> float:
        """Return how many seconds ago the last read of all changes began."""
        return self._clock() - self._read_at

    def may_grant(self) -> bool:
        """Return whether no other host can have begun to grant instead of this one."""
        if self._has_lease() and self.list_age() <= MAX_LIST_AGE_SECONDS:
            return True
        return self._is_confirmed(MAX_LIST_AGE_SECONDS)

    def reserve_hosts(self) -> int | None:
        """Return by how many hosts reserves are divided, ``None`` if unknown."""
        return self.history.reserve_hosts(self._clock(), self.list_age())

    def metadata_changed(self) -> None:
        """Take in the hosts after a read of the store."""
        now = self._clock()
        read_until = self._view.registrations_read_until
        if read_until != self._read_until:
            self._read_until = read_until
            self._read_at = now - (self._monotonic() - read_until)
        self.history.note(self._view.hosts.keys(), now)

    def registered(self) -> None:
        """Note that this host is listed under a new lease.

        It may have been missing from the list, so that another host took over. That is
        ruled out if all others confirmed the list just now.
        """
        now = self._clock()
        if not self._is_confirmed(FRESH_CONFIRMATION_SECONDS):
            self.history.restart(now)
            if self._has_accounts:
                logger.info("registered anew: no quotas are granted for 3 s")

    def _is_confirmed(self, within: float) -> bool:
        now = self._clock()
        return self.history.is_complete(now) and self.standing.is_confirmed(
            self.others, now, within
        )
