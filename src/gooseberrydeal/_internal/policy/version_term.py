"""Decide until when an older version of an adapter may serve requests."""

import math
from dataclasses import dataclass
from typing import Final, Self

# Fractions of the time by which a newer version has to be in use, counted from its
# declaration. What is left is for the way to the engine, and for this host and the
# engine to react.
_SEND_FRACTION: Final = 0.3
_STOP_FRACTION: Final = 0.8
_WITHDRAW_FRACTION: Final = 0.88
# A wait that has not ended yet is likely to last several times as long.
_WAIT_RESERVE: Final = 4.0


@dataclass(frozen=True, slots=True)
class VersionTerm:
    """Hold until when a version may serve, on the monotonic clock in seconds.

    A newer version was declared after ``replaced_after``. Requests are sent until
    ``send_until``. Engines are told to stop at ``stop_at``, so that they answer a
    request that still waits then as not run. Where an engine was not told so, because
    the request was sent before the newer version was known, the request is withdrawn
    at ``withdraw_at`` unless it has begun. All are infinity for the newest version.
    """

    replaced_after: float = math.inf
    send_until: float = math.inf
    stop_at: float = math.inf
    withdraw_at: float = math.inf

    @classmethod
    def from_declaration(cls, declared_after: float, bound: float) -> Self:
        """Return the term of a version, given after when a newer one was declared.

        ``bound`` is the time, in seconds, by which the newer one has to be in use.
        """
        return cls(
            declared_after,
            declared_after + bound * _SEND_FRACTION,
            declared_after + bound * _STOP_FRACTION,
            declared_after + bound * _WITHDRAW_FRACTION,
        )

    @property
    def is_limited(self) -> bool:
        """Return whether a newer version has been declared."""
        return self.replaced_after < math.inf

    def admits(self, wait_seconds: float, run_seconds: float, now: float) -> bool:
        """Return whether a request may be sent that is expected to wait and to run.

        It has to end before the engine is told to stop.
        """
        if now >= self.send_until:
            return False
        return now + wait_seconds * _WAIT_RESERVE + run_seconds <= self.stop_at
