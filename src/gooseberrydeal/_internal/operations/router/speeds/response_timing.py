"""Define what times a response for the speed of its server."""

from typing import Protocol


class ResponseTiming(Protocol):
    """Observe the stages of one response."""

    def head_received(self, status: int, slowdown: float) -> None:
        """Note the head and the slowdown that it states, 1.0 if none."""

    def events_received(self, count: int) -> None:
        """Note that ``count`` events were completed now."""

    def finish(self) -> None:
        """Note the end of the response, however it ended."""
