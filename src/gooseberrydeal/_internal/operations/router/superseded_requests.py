"""Withdraw requests that wait at an engine on an adapter version that was replaced."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.operations.router.attempt import Attempt
from gooseberrydeal._internal.policy.version_term import VersionTerm

_CHECK_INTERVAL_SECONDS: Final = 0.05


class SupersededRequests:
    """Check all attempts, since a newer version may be declared after they were sent.

    Nothing is checked while no attempt waits.
    """

    def __init__(
        self,
        term: Callable[[AdapterCopyKey], VersionTerm],
        clock: Callable[[], float],
    ) -> None:
        self._term = term
        self._clock = clock
        self._waiting: dict[AdapterCopyKey, set[Attempt]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @contextmanager
    def withdraw_in_time(
        self, attempt: Attempt, copy: AdapterCopyKey | None
    ) -> Iterator[None]:
        """Withdraw an attempt if it has not begun by the end of its version's term."""
        if copy is None or not copy.adapter:
            yield
            return
        self._waiting.setdefault(copy, set()).add(attempt)
        if self._timer is None:
            self._schedule()
        try:
            yield
        finally:
            attempts = self._waiting[copy]
            attempts.discard(attempt)
            if not attempts:
                del self._waiting[copy]

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_CHECK_INTERVAL_SECONDS, self._check)

    def _check(self) -> None:
        self._timer = None
        now = self._clock()
        for copy, attempts in self._waiting.items():
            if now >= self._term(copy).withdraw_at:
                for attempt in attempts:
                    attempt.withdraw(
                        "withdrawn: a newer adapter version has to be in use"
                    )
        if self._waiting:
            self._schedule()
