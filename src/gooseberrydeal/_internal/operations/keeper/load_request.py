"""Define a request for permission to load an adapter."""

from collections.abc import Callable
from dataclasses import dataclass

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.permit import Permit


@dataclass(frozen=True)
class LoadRequest:
    """Request a permit to load an adapter on a server.

    Requests with the smallest ``urgency`` get their permit first. ``start`` is called
    with the permit, and only if ``has_slot`` returns true.
    """

    server: str
    adapter: AdapterRef
    urgency: float
    has_slot: Callable[[], bool]
    start: Callable[[AdapterRef, Permit], None]
