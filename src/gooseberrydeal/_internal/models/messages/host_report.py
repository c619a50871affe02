"""Describe an entry host as it sees itself."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostReport:
    """Tell the state of a host; a higher ``(incarnation, sequence)`` is newer.

    ``waiting_loads`` and ``spare_permits`` steer the lending of load permits.
    """

    host: str
    domain: str
    address: str
    incarnation: float
    sequence: int
    revision: int
    is_leaving: bool
    waiting_loads: int
    spare_permits: int
    budget_epoch: int
    platform_reachable: bool
    alarms: tuple[str, ...] = ()
