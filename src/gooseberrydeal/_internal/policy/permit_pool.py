"""Divide the rate limit of the weight store among the keepers."""

import math
from collections.abc import Mapping, Sequence
from typing import Final

from gooseberrydeal._internal.models.permit import Permit

WINDOW_SECONDS: Final = 2.0
_LOAN_SECONDS: Final = 0.25
_TIMING_MARGIN_SECONDS: Final = 0.02


class PermitPool:
    """Hold this keeper's load permits.

    A region has as many permits as loads may start within ``WINDOW_SECONDS``. Each
    permit starts at most one load per window, so the keepers together never exceed the
    rate limit.

    Keepers may lend permits to each other. A borrowed permit can be used once, within
    ``_LOAN_SECONDS`` of the request for it. The lender does not reuse the permit until
    both the loan and a full window have passed, so that a lost message cannot make one
    permit count twice.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._epoch = 0
        self._own: list[Permit] = []
        self._borrowed: list[Permit] = []

    @property
    def epoch(self) -> int:
        """Return the number of the division that the permits belong to, 0 for none."""
        return self._epoch

    @property
    def share(self) -> int:
        """Return the number of permits that this keeper owns."""
        return len(self._own)

    def is_usable(self, now: float) -> bool:
        """Return whether a division is active and all own permits are ready."""
        return self._epoch > 0 and all(p.ready_at <= now for p in self._own)

    def adopt(self, epoch: int, share: int) -> None:
        """Switch to a newer division; ignore an older one.

        Permits that are new to this keeper are unusable until :meth:`confirm`.
        Borrowed permits are dropped.
        """
        if epoch <= self._epoch:
            return
        self._epoch = epoch
        kept = self._own[:share]
        new_permits = [Permit(math.inf) for _ in range(share - len(kept))]
        self._own = kept + new_permits
        self._borrowed.clear()

    def confirm(self, now: float) -> None:
        """Record that every member has adopted the division.

        New permits become usable once every use and loan under the previous division
        is older than a window.
        """
        usable_at = now + WINDOW_SECONDS + _LOAN_SECONDS + _TIMING_MARGIN_SECONDS
        for permit in self._own:
            if permit.ready_at == math.inf:
                permit.ready_at = usable_at

    def take(self, now: float) -> Permit | None:
        """Return a permit for a load that starts now, or ``None`` if none is ready."""
        for permit in self._borrowed:
            if permit.expires_at is not None and now < permit.expires_at:
                self._borrowed.remove(permit)
                permit.in_use = True
                return permit
        self._borrowed.clear()
        for permit in self._own:
            if not permit.in_use and permit.ready_at <= now:
                permit.in_use = True
                permit.ready_at = now + WINDOW_SECONDS + _TIMING_MARGIN_SECONDS
                return permit
        return None

    def finish(self, permit: Permit) -> None:
        """Record that the load that used a permit has ended."""
        permit.in_use = False

    def ready(self, now: float) -> int:
        """Return the number of own permits that are ready plus all borrowed permits."""
        own = sum(1 for p in self._own if not p.in_use and p.ready_at <= now)
        return own + len(self._borrowed)

    def lend(self, requested_count: int, waiting: int, now: float) -> int:
        """Lend permits that own waiting loads do not need; return how many.

        ``requested_count`` is the number requested, ``waiting`` that of own loads that
        wait for a permit.
        """
        unneeded = max(0, self.ready(now) - len(self._borrowed) - waiting)
        count = min(requested_count, unneeded)
        lent = 0
        for permit in self._own:
            if lent == count:
                break
            if not permit.in_use and permit.ready_at <= now:
                permit.ready_at = (
                    now + _LOAN_SECONDS + WINDOW_SECONDS + 2 * _TIMING_MARGIN_SECONDS
                )
                lent += 1
        return lent

    def borrow(self, count: int, epoch: int, requested_at: float) -> None:
        """Add borrowed permits, unless they belong to another division.

        They expire ``_LOAN_SECONDS`` after ``requested_at``.
        """
        if epoch != self._epoch:
            return
        expires = requested_at + _LOAN_SECONDS
        self._borrowed += [Permit(0.0, expires_at=expires) for _ in range(count)]


def divide_permits(
    total: int, members: Sequence[str], reserved: Mapping[str, int]
) -> dict[str, int]:
    """Divide the permits evenly among the members.

    ``reserved`` holds the permits of unreachable hosts, which may still be using them;
    these are not handed out.
    """
    available = max(0, total - sum(reserved.values()))
    names = sorted(members)
    if not names:
        return {}
    each, extra = divmod(available, len(names))
    return {
        name: each + (1 if index < extra else 0) for index, name in enumerate(names)
    }
