"""Decide how often hosts tell each other, and ask the store, by their number."""

from dataclasses import dataclass
from typing import Final

# Up to so many hosts the shortest times cost little. Each host hears from all others;
# longer times keep its work about the same when there are more.
_FEW_HOSTS: Final = 16.0
# The longest time between two looks at the store's changes: with an answer that takes
# 0.2 s, a leaving server is known within the two seconds allowed.
_MOST_FOLLOW_SECONDS: Final = 1.4
# An owner that falls silent is noticed within some three of these.
_MOST_HEARTBEAT_SECONDS: Final = 1.0
# Later news of an engine's queue of prompts is no use: it is read in less time.
_MOST_COLLECT_SECONDS: Final = 0.25
# Owners evict by what hosts report.
_MOST_REPORT_SECONDS: Final = 0.8


@dataclass(frozen=True, slots=True)
class ExchangePeriods:
    """Hold periods in seconds.

    Owners tell of their engine every ``heartbeat`` and collect changes of its load for
    ``collect``; hosts tell owners of their use every ``report`` and look at the store's
    changes every ``follow``.
    """

    heartbeat: float = 0.4
    collect: float = 0.03
    report: float = 0.25
    follow: float = 0.8

    @classmethod
    def for_hosts(cls, hosts: int) -> "ExchangePeriods":
        """Return the periods for a number of hosts.

        Answers to deployments of some 80 hosts and engines, where the shortest periods
        took a tenth of a core and 4 MB/s over all links on a calm day.
        """
        scale = max(1.0, hosts / _FEW_HOSTS)
        return cls(
            heartbeat=min(_MOST_HEARTBEAT_SECONDS, 0.4 * scale),
            collect=min(_MOST_COLLECT_SECONDS, 0.03 * scale),
            report=min(_MOST_REPORT_SECONDS, 0.25 * scale),
            follow=min(_MOST_FOLLOW_SECONDS, 0.8 * scale),
        )

    @property
    def status_fresh(self) -> float:
        """Return how long an owner's word on its engine counts."""
        return max(1.5, 3.0 * self.heartbeat)

    @property
    def owner_silent(self) -> float:
        """Return after how long an owner may be behind a cut."""
        return 2.5 * self.heartbeat

    @property
    def host_silent(self) -> float:
        """Return after how long without a report a host counts as stopped."""
        return max(1.5, 3.0 * self.report)
