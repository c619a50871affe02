"""Describe a host on the platform's list."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ListedHost:
    """Name a backend server or entry host that the platform knows.

    The list lags behind the truth.
    """

    address: str
    is_leaving: bool
