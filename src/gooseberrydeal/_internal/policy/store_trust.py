"""Decide when a host that has started may rely on the metadata store alone."""

from typing import Final

# Hosts that went on have noticed a restoration and written back what the store lost
# within this time.
CONFIRMATION_SECONDS: Final = 3.0


class StoreTrust:
    """Wait until other hosts had time to add what a restored store lost.

    A store whose epoch was settled is trusted at once, and so is that of a deployment
    that starts for the first time. Without word from other hosts the store is trusted
    after ``CONFIRMATION_SECONDS``, since it may be all that is left.
    """

    def __init__(self, *, is_first_start: bool) -> None:
        self._is_first_start = is_first_start
        self._is_trusted = False
        self._is_unconfirmed = False
        self._epoch: int | None = None
        self._confirmed_epoch: int | None = None
        self._epoch_read_at = 0.0

    @property
    def is_trusted(self) -> bool:
        """Return whether the store is relied on; once true, it stays so."""
        return self._is_trusted

    @property
    def is_unconfirmed(self) -> bool:
        """Return whether no host has confirmed what the trusted store holds."""
        return self._is_unconfirmed

    @property
    def is_confirmed(self) -> bool:
        """Return whether the store holds all that any host knew of, in this epoch.

        That is so once the epoch is settled, and at a deployment's first start.
        """
        is_current = self._confirmed_epoch == self._epoch
        return self._is_trusted and self._epoch is not None and is_current

    def store_read(
        self, epoch: int, now: float, *, has_record: bool, is_settled: bool
    ) -> None:
        """Take account of a read of the store.

        ``has_record`` says whether it holds a record of what other hosts know,
        ``is_settled`` whether that is complete for this epoch.
        """
        if epoch != self._epoch:
            self._epoch = epoch
            self._epoch_read_at = now
        is_new = self._is_first_start and not has_record
        if is_settled or is_new:
            self._is_trusted = True
        if is_settled or (is_new and self._confirmed_epoch is None):
            self._confirmed_epoch = epoch
        self.check(now)

    def check(self, now: float) -> None:
        """Rely on the store if no host has confirmed its content in time."""
        if self._is_trusted or self._epoch is None:
            return
        if now - self._epoch_read_at >= CONFIRMATION_SECONDS:
            self._is_trusted = True
            self._is_unconfirmed = True
