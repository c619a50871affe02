"""Divide the weight store's rate among the keepers."""

import math
from collections.abc import Mapping, Sequence
from typing import Final

from gooseberrydeal._internal.models.permit import Permit

WINDOW_SECONDS: Final = 2.0
LOAN_SECONDS: Final = 0.25
_MARGIN_SECONDS: Final = 0.02


class PermitPool:
    """Hold this keeper's permits; in sum they never pass the rate.

    The region has as many permits as loads may start in a window. Each permit starts
    one load a window, so no window can see more starts than there are permits. A
    loan can be used once, within ``LOAN_SECONDS`` of its request; the lender waits
    for loan and window to pass, so that a lost message can't double a permit.
    """

    def __init__(self) -> None:
        self._epoch = 0
        self._own: list[Permit] = []
        self._borrowed: list[Permit] = []

    @property
    def epoch(self) -> int:
        """Return the division that the permits belong to."""
        return self._epoch

    @property
    def share(self) -> int:
        """Return how many permits this keeper owns."""
        return len(self._own)

    def is_usable(self, now: float) -> bool:
        """Return whether a division is in force and its permits have rested."""
        return self._epoch > 0 and all(p.ready_at <= now for p in self._own)

    def adopt(self, epoch: int, share: int) -> None:
        """Take a new division into force.

        Permits that are new to this keeper stay unusable until :meth:`confirm`.
        """
        if epoch <= self._epoch:
            return
        self._epoch = epoch
        kept = self._own[:share]
        fresh = [Permit(math.inf) for _ in range(share - len(kept))]
        self._own = kept + fresh
        self._borrowed.clear()

    def confirm(self, now: float) -> None:
        """Note that every member has adopted the division.

        New permits rest until all uses and loans under the old division have left
        the window.
        """
        rest_until = now + WINDOW_SECONDS + LOAN_SECONDS + _MARGIN_SECONDS
        for permit in self._own:
            if permit.ready_at == math.inf:
                permit.ready_at = rest_until

    def take(self, now: float) -> Permit | None:
        """Return a permit for a load that starts now, if one is ready."""
        for permit in self._borrowed:
            if permit.expires_at is not None and now < permit.expires_at:
                self._borrowed.remove(permit)
                permit.in_use = True
                return permit
        self._borrowed.clear()
        for permit in self._own:
            if not permit.in_use and permit.ready_at <= now:
                permit.in_use = True
                permit.ready_at = now + WINDOW_SECONDS + _MARGIN_SECONDS
                return permit
        return None

    def finish(self, permit: Permit) -> None:
        """Note that the load of a permit has ended."""
        permit.in_use = False

    def ready(self, now: float) -> int:
        """Return how many permits could be used now."""
        own = sum(1 for p in self._own if not p.in_use and p.ready_at <= now)
        return own + len(self._borrowed)

    def lend(self, wanted: int, waiting: int, now: float) -> int:
        """Give away what own waiting loads don't need; return how many."""
        spare = max(0, self.ready(now) - len(self._borrowed) - waiting)
        count = min(wanted, spare)
        lent = 0
        for permit in self._own:
            if lent == count:
                break
            if not permit.in_use and permit.ready_at <= now:
                permit.ready_at = (
                    now + LOAN_SECONDS + WINDOW_SECONDS + 2 * _MARGIN_SECONDS
                )
                lent += 1
        return lent

    def borrow(self, count: int, epoch: int, requested_at: float) -> None:
        """Add a loan that was asked for at the given time."""
        if epoch != self._epoch:
            return
        expires = requested_at + LOAN_SECONDS
        self._borrowed += [Permit(0.0, expires_at=expires) for _ in range(count)]


def divide(
    total: int, members: Sequence[str], reserved: Mapping[str, int]
) -> dict[str, int]:
    """Divide the permits evenly; those of unreachable members stay reserved."""
    left = max(0, total - sum(reserved.values()))
    names = sorted(members)
    if not names:
        return {}
    each, extra = divmod(left, len(names))
    return {
        name: each + (1 if index < extra else 0) for index, name in enumerate(names)
    }
