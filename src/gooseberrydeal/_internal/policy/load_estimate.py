"""Estimate a server's load from old reports and own sends."""

from typing import Final

# The others' load drifts away from a report as their requests end.
_DRIFT_SECONDS: Final = 1.0
# What this host heard itself so lately is newer than what others passed on.
_FRESH_PACE_SECONDS: Final = 0.1


class LoadEstimate:
    """Join the newest report with what this host has sent and finished itself.

    A report counts the requests of all hosts at its time. What this host had in flight
    then is taken off, and what it has in flight now is added.
    """

    def __init__(self) -> None:
        self._own = 0
        self._own_tokens = 0
        self._own_unread = 0
        self._others = 0.0
        self._others_tokens = 0.0
        self._others_unread = 0.0
        self._reported_at = 0.0
        self._pace = 1.0
        self._pace_at = -60.0

    @property
    def own(self) -> int:
        """Return how many requests this host has in flight."""
        return self._own

    @property
    def own_tokens(self) -> int:
        """Return the tokens of the requests that this host has in flight."""
        return self._own_tokens

    @property
    def pace(self) -> float:
        """Return how long work takes, 1.0 as usual."""
        return self._pace

    @property
    def own_unread(self) -> int:
        """Return this host's prompt tokens that no response has begun for."""
        return self._own_unread

    def pace_age(self, now: float) -> float:
        """Return how many seconds ago this host heard of the pace."""
        return now - self._pace_at

    def begin(self, tokens: int, prompt_tokens: int = 0) -> None:
        """Count a request that is sent, and its prompt as unread."""
        self._own += 1
        self._own_tokens += tokens
        self._own_unread += prompt_tokens

    def note_read(self, prompt_tokens: int) -> None:
        """Note that a prompt was read, or given up."""
        self._own_unread -= prompt_tokens

    def end(self, tokens: int) -> None:
        """Count a request that has ended."""
        self._own -= 1
        self._own_tokens -= tokens

    def report(self, total: int, pace: float, now: float) -> None:
        """Take the server's own count of running and waiting requests."""
        self._others = max(0.0, float(total - self._own))
        self._reported_at = now
        self._pace = pace
        self._pace_at = now

    def report_others(
        self, requests: int, tokens: int, unread_tokens: int, pace: float, now: float
    ) -> None:
        """Take the counts of the other hosts' requests, and the pace they saw."""
        if self.pace_age(now) > _FRESH_PACE_SECONDS:
            self._pace = pace
        self._others = float(requests)
        self._others_tokens = float(tokens)
        self._others_unread = float(unread_tokens)
        self._reported_at = now

    def requests(self, now: float) -> float:
        """Return the estimated requests at the server, running and waiting."""
        return self._own + self._others * self._trust(now)

    def tokens(self, now: float) -> float:
        """Return the estimated tokens in the server's memory."""
        return self._own_tokens + self._others_tokens * self._trust(now)

    def unread_tokens(self, now: float, tokens_per_second: float) -> float:
        """Return the estimated tokens of prompts that the server has yet to read.

        Those of other hosts are read at the given rate since they were reported.
        """
        read = max(0.0, now - self._reported_at) * tokens_per_second / self._pace
        return self._own_unread + max(0.0, self._others_unread - read)

    def _trust(self, now: float) -> float:
        age = max(0.0, now - self._reported_at)
        return float(0.5 ** (age / _DRIFT_SECONDS))
