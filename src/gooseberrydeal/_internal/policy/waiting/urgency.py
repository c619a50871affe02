"""Order waiting requests by their urgency."""

from collections.abc import Hashable, Mapping
from typing import Final, TypeVar

from gooseberrydeal._internal.policy.waiting.account_turns import AccountTurns
from gooseberrydeal._internal.policy.waiting.waiting_request import WaitingRequest

_KeyT = TypeVar("_KeyT", bound=Hashable)

# While its requests wait, a rank gets at least one in this many of the places, so that
# no rank starves under a lasting overload by more urgent ones.
MIN_RANK_SHARE_PLACES: Final = 20


class Urgency:
    """Choose the waiting request that is served next.

    The lowest rank goes first, within it requests that can still be on time, then
    those of the account that was served least, then the one that is late first.
    """

    def __init__(self) -> None:
        self._turns: dict[int, AccountTurns] = {}
        self._passed_over: dict[int, int] = {}

    def order(
        self, waiting: Mapping[_KeyT, WaitingRequest], now: float, seconds: float
    ) -> list[_KeyT]:
        """Return the requests by urgency; to serve one takes ``seconds``."""
        return sorted(
            waiting, key=lambda item: self._sort_key(waiting[item], now + seconds)
        )

    def next(
        self, waiting: Mapping[_KeyT, WaitingRequest], now: float, seconds: float
    ) -> _KeyT:
        """Return the request to serve next; raise ``ValueError`` if none waits."""
        starved = {
            rank
            for rank, count in self._passed_over.items()
            if count >= MIN_RANK_SHARE_PLACES - 1
        }
        chosen = [item for item, request in waiting.items() if request.rank in starved]
        return min(
            chosen or waiting,
            key=lambda item: self._sort_key(waiting[item], now + seconds),
        )

    def note_served(
        self, request: WaitingRequest, waiting: Mapping[_KeyT, WaitingRequest]
    ) -> None:
        """Record that a request was chosen while those of ``waiting`` were not."""
        self._turns.setdefault(request.rank, AccountTurns()).note(request.account)
        left = {item.rank for item in waiting.values()} - {request.rank}
        self._passed_over = {rank: self._passed_over.get(rank, 0) + 1 for rank in left}

    def precedes(
        self, first: WaitingRequest, second: WaitingRequest, now: float, seconds: float
    ) -> bool:
        """Return whether the first request is served before the second."""
        served_at = now + seconds
        return self._sort_key(first, served_at) < self._sort_key(second, served_at)

    def _sort_key(
        self, request: WaitingRequest, served_at: float
    ) -> tuple[int, bool, float, float]:
        turns = self._turns.get(request.rank)
        turn = 0.0 if turns is None else turns.turn(request.account)
        return request.rank, served_at > request.late_at, turn, request.late_at
