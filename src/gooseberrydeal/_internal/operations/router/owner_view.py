"""Hold what the owner of an engine last told this host of it."""

import math

from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.policy.exchange_periods import ExchangePeriods


class OwnerView:
    """Keep the newest status of an engine, and how old it is.

    In large deployments owners send statuses only to hosts that use an engine or ask
    about it, so that no status is no sign of trouble unless this host has asked.
    """

    def __init__(self) -> None:
        self._status: EngineStatus | None = None
        self._received_at = 0.0
        self._waits_since: float | None = None
        self._periods = ExchangePeriods()

    @property
    def status(self) -> EngineStatus | None:
        """Return the newest status, ``None`` if there is none of this start."""
        return self._status

    def apply(self, status: EngineStatus, now: float, periods: ExchangePeriods) -> bool:
        """Apply a status; return whether it is newer than the last one."""
        known = self._status
        newest = (status.fencing_number, status.sequence)
        if known is not None and newest <= (known.fencing_number, known.sequence):
            return False
        self._status = status
        self._received_at = now
        self._waits_since = None
        self._periods = periods
        return True

    def clear(self) -> None:
        """Forget the status, since the engine has started again."""
        self._status = None

    def note_asked(self, now: float) -> None:
        """Record that this host has reported to the owner, which answers that."""
        if self._waits_since is None:
            self._waits_since = now

    def seconds_unanswered(self, now: float) -> float:
        """Return for how long the owner has not answered this host, 0 if not asked."""
        return 0.0 if self._waits_since is None else now - self._waits_since

    def is_fresh(self, now: float) -> bool:
        """Return whether the last status is recent enough to be used."""
        limit = self._periods.status_ttl
        return self._status is not None and now - self._received_at < limit

    def needs_refresh(self, now: float) -> bool:
        """Return whether the next status would be overdue if this host had asked."""
        age = math.inf if self._status is None else now - self._received_at
        return age > self._periods.heartbeat

    def is_silent(self, now: float) -> bool:
        """Return whether the owner has sent statuses before but does not answer."""
        has_status = self._status is not None
        return has_status and self.seconds_unanswered(now) > self._periods.owner_timeout

    @property
    def spare_slots(self) -> int:
        """Return the number of spare adapter slots in the last status."""
        return 0 if self._status is None else self._status.spare_slots

    def accepts_load_orders(self, now: float) -> bool:
        """Return whether the owner has a fresh status and may send orders."""
        status = self._status
        return status is not None and status.may_load and self.is_fresh(now)
