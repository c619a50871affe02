"""Describe a load that is waited for."""

from collections.abc import Callable
from dataclasses import dataclass

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.permit import Permit


@dataclass(frozen=True)
class LoadRequest:
    """Ask for a permit; the smallest ``urgency`` is served first.

    ``start`` is called with a permit, and only while ``has_slot`` holds.
    """

    server: str
    adapter: AdapterRef
    urgency: float
    has_slot: Callable[[], bool]
    start: Callable[[AdapterRef, Permit], None]
