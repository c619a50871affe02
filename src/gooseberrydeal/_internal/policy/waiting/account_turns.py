"""Share places evenly among the client accounts of a rank."""

from typing import Final

# Accounts that have no advantage over a new one are dropped beyond this number.
_MAX_ACCOUNTS: Final = 256


class AccountTurns:
    """Count served requests by account, with equal weights (start-time fair queueing).

    An account that asked for nothing for a while has no claim to what it left unused.
    """

    def __init__(self) -> None:
        self._turns: dict[str, float] = {}
        self._floor = 0.0

    def turn(self, account: str) -> float:
        """Return the account's turn; the lowest is served next."""
        return max(self._floor, self._turns.get(account, 0.0))

    def note(self, account: str) -> None:
        """Record that a request of an account is served."""
        turn = self.turn(account)
        self._floor = turn
        self._turns[account] = turn + 1.0
        if len(self._turns) > _MAX_ACCOUNTS:
            self._turns = {k: v for k, v in self._turns.items() if v > turn}
