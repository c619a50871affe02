"""Decide which of the requests that wait for an engine are checked next."""

import math
from collections import deque
from collections.abc import Hashable
from typing import Final, Generic, TypeVar

from gooseberrydeal._internal.policy.waiting.urgency import Urgency
from gooseberrydeal._internal.policy.waiting.waiting_request import WaitingRequest

_KeyT = TypeVar("_KeyT", bound=Hashable)

# Each check weighs all engines, so only the most urgent requests are checked when
# capacity may be free. Rooms of several engines may be free at the same time.
_MOST_URGENT: Final = 6
# Besides these, others are checked in turn, whatever their rank: their adapters may be
# on engines that the most urgent requests do not wait for.
_IN_TURN: Final = 2
# The rate at which requests are sent is that of this time, which covers some tens of
# requests of a busy host.
_RATE_SECONDS: Final = 3.0
# Requests are refused early only once others have waited for this long without a break,
# since the rate says nothing of capacity before.
_SETTLING_SECONDS: Final = 1.0
# Added to the requests counted in that time, since few of them say little: a request is
# refused early only if it has no chance at this rate either.
_OPTIMISM_REQUESTS: Final = 3
# From the send to the first event of a response, on an engine that takes requests.
_RESPONSE_SECONDS: Final = 0.1
MAX_RETRY_AFTER_SECONDS: Final = 10.0


class AdmissionOrder(Generic[_KeyT]):
    """Order the requests of one host that wait for the engines of one service.

    Designed for bursts in which a host has some tens of waiting requests of several
    ranks, for thousands of adapters on different engines: an engine that one request
    waits for may be full while another has room.
    """

    def __init__(self) -> None:
        self._urgency = Urgency()
        self._waiting: dict[_KeyT, WaitingRequest] = {}
        self._sent_at: deque[float] = deque()
        self._waits_since = math.inf

    @property
    def waiting(self) -> dict[_KeyT, WaitingRequest]:
        """Return the requests that wait."""
        return self._waiting

    def by_rank(self) -> dict[int, int]:
        """Return how many requests of each rank wait."""
        counts: dict[int, int] = {}
        for request in self._waiting.values():
            counts[request.rank] = counts.get(request.rank, 0) + 1
        return counts

    def enter(self, key: _KeyT, request: WaitingRequest, now: float) -> None:
        """Add a request; does nothing if it waits already."""
        if not self._waiting:
            self._waits_since = now
        self._waiting.setdefault(key, request)

    def leave(self, key: _KeyT) -> None:
        """Remove a request; does nothing if it does not wait."""
        self._waiting.pop(key, None)

    def note_sent(self, request: WaitingRequest, now: float) -> None:
        """Record that a request was sent, whether or not it waited."""
        self._sent_at.append(now)
        self._forget(now)
        if self._waiting:
            self._urgency.note_served(request, self._waiting)

    def must_yield(self, request: WaitingRequest, now: float) -> bool:
        """Return whether others are checked before a request that has just arrived."""
        if not self._waiting:
            return False
        return self._ahead(request, now) > 0

    def next_to_check(self, now: float) -> list[_KeyT]:
        """Return the requests to check, in this order."""
        if not self._waiting:
            return []
        first = self._urgency.next(self._waiting, now, _RESPONSE_SECONDS)
        order = self._urgency.order(self._waiting, now, _RESPONSE_SECONDS)
        order.remove(first)
        urgent = [first, *order[: _MOST_URGENT - 1]]
        # Requests are kept in the order in which they came or were checked in turn.
        others = [key for key in self._waiting if key not in urgent][:_IN_TURN]
        for key in others:
            self._waiting[key] = self._waiting.pop(key)
        return urgent + others

    def is_hopeless(self, request: WaitingRequest, now: float) -> bool:
        """Return whether a waiting request can't be sent in time for its caller."""
        if now >= request.useless_at:
            return True
        if now - self._waits_since < _SETTLING_SECONDS:
            return False
        expected = (self._ahead(request, now) + 1) / self._rate(now)
        return now + expected > request.useless_at

    def is_owed(self, rank: int) -> bool:
        """Return whether a rank gets the next place, for its minimum share."""
        return self._urgency.is_owed(rank)

    def sent_per_second(self, now: float) -> float:
        """Return how many requests were sent in a second, by the last few seconds."""
        self._forget(now)
        return len(self._sent_at) / _RATE_SECONDS

    def drain_seconds(self, now: float) -> float:
        """Return after how many seconds the waiting requests will have been sent."""
        seconds = (len(self._waiting) + 1) / self._rate(now)
        return min(seconds, MAX_RETRY_AFTER_SECONDS)

    def _ahead(self, request: WaitingRequest, now: float) -> int:
        return self._urgency.count_ahead(
            request, self._waiting.values(), now, _RESPONSE_SECONDS
        )

    def _rate(self, now: float) -> float:
        """Return how many requests are sent in a second at most."""
        self._forget(now)
        return (len(self._sent_at) + _OPTIMISM_REQUESTS) / _RATE_SECONDS

    def _forget(self, now: float) -> None:
        while self._sent_at and now - self._sent_at[0] > _RATE_SECONDS:
            self._sent_at.popleft()
