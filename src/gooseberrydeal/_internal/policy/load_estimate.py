"""Estimate a server's load from reports and this host's own requests."""

from typing import Final

from gooseberrydeal._internal.policy.stated_slowdown import StatedSlowdown

# Half-life of the reported load of other hosts, whose requests end after the report.
_REPORT_HALF_LIFE_SECONDS: Final = 1.0
# A slowdown that the server itself reported to this host within this time is newer than
# one relayed through other hosts.
_DIRECT_SLOWDOWN_SECONDS: Final = 0.1


class LoadEstimate:
    """Combine the newest report with this host's own requests in flight.

    A server's report counts the requests of all hosts. The requests that this host had
    in flight when the report arrived are subtracted, which leaves those of other hosts;
    the requests that this host has in flight now are added to every estimate.

    Pending prefill tokens are the prompt tokens whose prefill has not completed.
    """

    def __init__(self) -> None:
        self._own = 0
        self._own_tokens = 0
        self._own_pending_prefill = 0
        self._others = 0.0
        self._others_tokens = 0.0
        self._others_pending_prefill = 0.0
        self._reported_at = 0.0
        self._slowdown = StatedSlowdown()
        self._slowdown_at = -60.0

    @property
    def own_requests(self) -> int:
        """Return the number of requests that this host has in flight."""
        return self._own

    @property
    def own_tokens(self) -> int:
        """Return the KV cache tokens of this host's requests in flight."""
        return self._own_tokens

    @property
    def own_pending_prefill(self) -> int:
        """Return the prompt tokens of this host's requests without a response yet."""
        return self._own_pending_prefill

    def slowdown(self, now: float) -> float:
        """Return the processing time relative to the usual one (1.0 is normal)."""
        return self._slowdown.current(now)

    def slowdown_age(self, now: float) -> float:
        """Return the seconds since the server itself reported its slowdown."""
        return now - self._slowdown_at

    def begin(self, tokens: int, prompt_tokens: int = 0) -> None:
        """Add a request in flight, and its prompt to the pending prefill."""
        self._own += 1
        self._own_tokens += tokens
        self._own_pending_prefill += prompt_tokens

    def remove_pending_prefill(self, prompt_tokens: int) -> None:
        """Remove a prompt that was prefilled or whose request was abandoned."""
        self._own_pending_prefill -= prompt_tokens

    def end(self, tokens: int) -> None:
        """Remove a request that has ended."""
        self._own -= 1
        self._own_tokens -= tokens

    def report(self, total: int, slowdown: float, now: float) -> None:
        """Apply a server's report of its running and waiting requests."""
        self._others = max(0.0, float(total - self._own))
        self._reported_at = now
        self._slowdown.state(slowdown, now)
        self._slowdown_at = now

    def report_others(
        self,
        requests: int,
        tokens: int,
        pending_prefill_tokens: int,
        slowdown: float,
        now: float,
    ) -> None:
        """Apply counts of the other hosts' requests and the slowdown they observed."""
        if self.slowdown_age(now) > _DIRECT_SLOWDOWN_SECONDS:
            self._slowdown.state(slowdown, now)
        self._others = float(requests)
        self._others_tokens = float(tokens)
        self._others_pending_prefill = float(pending_prefill_tokens)
        self._reported_at = now

    def requests(self, now: float) -> float:
        """Return the estimated number of requests running and waiting."""
        return self._own + self._others * self._report_weight(now)

    def tokens(self, now: float) -> float:
        """Return the estimated tokens in the server's KV cache."""
        return self._own_tokens + self._others_tokens * self._report_weight(now)

    def pending_prefill_tokens(self, now: float, tokens_per_second: float) -> float:
        """Return the estimated prompt tokens that the server has yet to prefill.

        Prompts of other hosts are assumed to have been prefilled at
        ``tokens_per_second``, divided by the slowdown, since they were reported.
        """
        elapsed = max(0.0, now - self._reported_at)
        prefilled = elapsed * tokens_per_second / self.slowdown(now)
        return self._own_pending_prefill + max(
            0.0, self._others_pending_prefill - prefilled
        )

    def _report_weight(self, now: float) -> float:
        age = max(0.0, now - self._reported_at)
        return float(0.5 ** (age / _REPORT_HALF_LIFE_SECONDS))
