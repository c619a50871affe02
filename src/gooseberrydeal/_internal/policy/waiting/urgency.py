"""Order waiting requests by their urgency."""

from collections.abc import Hashable, Iterable, Iterator, Mapping
from typing import Final, TypeVar

from gooseberrydeal._internal.policy.waiting.account_turns import AccountTurns
from gooseberrydeal._internal.policy.waiting.waiting_request import WaitingRequest

_KeyT = TypeVar("_KeyT", bound=Hashable)
_SortKey = tuple[int, bool, float, float]

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
        keys = self._sort_keys(waiting.values(), now + seconds)
        by_request = dict(zip(waiting, keys, strict=True))
        return sorted(waiting, key=by_request.__getitem__)

    def next(
        self, waiting: Mapping[_KeyT, WaitingRequest], now: float, seconds: float
    ) -> _KeyT:
        """Return the request to serve next; raise ``ValueError`` if none waits."""
        owed = {k: item for k, item in waiting.items() if self.is_owed(item.rank)}
        waiting = owed or waiting
        keys = self._sort_keys(waiting.values(), now + seconds)
        return min(zip(keys, waiting, strict=True), key=lambda pair: pair[0])[1]

    def is_owed(self, rank: int) -> bool:
        """Return whether a rank gets the next place, for its minimum share."""
        return self._passed_over.get(rank, 0) >= MIN_RANK_SHARE_PLACES - 1

    def note_served(
        self, request: WaitingRequest, waiting: Mapping[_KeyT, WaitingRequest]
    ) -> None:
        """Record that a request was chosen while those of ``waiting`` were not."""
        self._turns.setdefault(request.rank, AccountTurns()).note(request.account)
        left = {item.rank for item in waiting.values()} - {request.rank}
        self._passed_over = {rank: self._passed_over.get(rank, 0) + 1 for rank in left}

    def count_ahead(
        self,
        request: WaitingRequest,
        waiting: Iterable[WaitingRequest],
        now: float,
        seconds: float,
    ) -> int:
        """Return how many of the waiting requests are served before a request."""
        served_at = now + seconds
        own = next(iter(self._sort_keys((request,), served_at)))
        return sum(key < own for key in self._sort_keys(waiting, served_at))

    def _sort_keys(
        self, requests: Iterable[WaitingRequest], served_at: float
    ) -> Iterator[_SortKey]:
        """Yield the key by which each request is ordered."""
        # Hundreds may wait, of a few accounts.
        known: dict[tuple[int, str], float] = {}
        for request in requests:
            owner = (request.rank, request.account)
            turn = known.get(owner)
            if turn is None:
                turns = self._turns.get(request.rank)
                turn = 0.0 if turns is None else turns.turn(request.account)
                known[owner] = turn
            yield request.rank, served_at > request.late_at, turn, request.late_at
