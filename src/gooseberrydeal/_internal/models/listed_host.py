"""Define an item of the platform's host list."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ListedHost:
    """Represent a backend server or entry host in the platform's host list.

    The list may be out of date.
    """

    address: str
    is_leaving: bool
