"""Scale the periods of status exchange and store polling by the number of hosts."""

from dataclasses import dataclass
from functools import lru_cache
from typing import Final

# Up to this many hosts the shortest periods are cheap. Each host receives messages from
# all others, so with more hosts the periods grow to keep the work per host about equal.
_MAX_HOSTS_UNSCALED: Final = 16.0
# Fraction of the time by which hosts must act on a change in the store that may pass
# before they read it. The rest is for the call, and for requests that are being sent.
_STORE_POLL_FRACTION: Final = 0.6
_DEFAULT_CHANGE_BOUND_SECONDS: Final = 2.0
# An owner that stops sending is detected within about three heartbeats.
_MAX_HEARTBEAT_SECONDS: Final = 1.0
# An engine prefills its queued prompts in less time than this, so load updates that
# arrive later would be useless.
_MAX_COLLECT_SECONDS: Final = 0.25
# Owners choose copies to evict from these reports, so they must be recent.
_MAX_REPORT_SECONDS: Final = 0.8


@dataclass(frozen=True, slots=True)
class ExchangePeriods:
    """Hold the periods of status exchange and store polling, in seconds.

    Owners broadcast the status of their engine every ``heartbeat``, and batch changes
    of its load for ``collect`` before they broadcast them. Hosts report their use of
    each engine to its owner every ``report``, and poll the metadata store for changes
    every ``store_poll``. With ``reports_all``, that holds for all engines and hosts;
    otherwise only for engines that a host uses or asks about.
    """

    heartbeat: float = 0.4
    collect: float = 0.03
    report: float = 0.25
    store_poll: float = 0.8
    reports_all: bool = True

    @classmethod
    @lru_cache(maxsize=64)
    def for_hosts(
        cls, hosts: int, change_bound: float = _DEFAULT_CHANGE_BOUND_SECONDS
    ) -> "ExchangePeriods":
        """Return the periods for a number of hosts.

        Within ``change_bound`` seconds hosts must act on a change in the store.

        The periods grow with the number of hosts because in deployments of about 80
        hosts and engines the shortest periods used a tenth of a core and 4 MB/s over
        all links, even under light load.
        """
        scale = max(1.0, hosts / _MAX_HOSTS_UNSCALED)
        return cls(
            heartbeat=min(_MAX_HEARTBEAT_SECONDS, 0.4 * scale),
            collect=min(_MAX_COLLECT_SECONDS, 0.03 * scale),
            report=min(_MAX_REPORT_SECONDS, 0.25 * scale),
            store_poll=min(change_bound * _STORE_POLL_FRACTION, 0.8 * scale),
            reports_all=hosts <= _MAX_HOSTS_UNSCALED,
        )

    @property
    def status_ttl(self) -> float:
        """Return for how many seconds an engine status from its owner is valid."""
        return max(1.5, 3.0 * self.heartbeat)

    @property
    def owner_timeout(self) -> float:
        """Return after how many seconds without a status an owner may be cut off."""
        return 2.5 * self.heartbeat

    @property
    def host_timeout(self) -> float:
        """Return after how many seconds without a report a host counts as stopped."""
        return max(1.5, 3.0 * self.report)
