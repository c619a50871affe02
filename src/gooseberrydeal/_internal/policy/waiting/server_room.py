"""Describe how many requests a server takes at the same time."""

from dataclasses import dataclass
from typing import Final, Self

from gooseberrydeal._internal.models.routing.routing_configuration import EngineCapacity

# Engines are filled to this part of their slots, as without places.
_MAX_BATCH_FRACTION: Final = 0.9
# Requests of plain services are held for some tens of ms, streams for about this long.
_PLAIN_SECONDS: Final = 0.1
_STREAM_SECONDS: Final = 0.5
# From the send to the first event of a stream, on an engine that takes requests.
_FIRST_EVENT_SECONDS: Final = 0.1
# An engine ends if its requests exceed its memory; a part is left for requests that
# were sent without a place.
_MAX_MEMORY_FRACTION: Final = 0.9


@dataclass(frozen=True, slots=True)
class ServerRoom:
    """Hold the slots of a server, and the tokens that its memory has room for.

    ``max_tokens`` is ``None`` for plain servers. Requests hold a place for
    ``usual_seconds`` until that was observed, and are answered ``first_event_seconds``
    after they were sent, ``None`` if only their end counts.
    """

    slots: int
    max_tokens: float | None = None
    usual_seconds: float = _PLAIN_SECONDS
    first_event_seconds: float | None = None

    @classmethod
    def from_capacity(cls, slots: int, engine: EngineCapacity | None) -> Self:
        """Return the room of a server; ``engine`` is ``None`` for a plain one."""
        if engine is None:
            return cls(max(1, slots))
        return cls(
            max(1, int(slots * _MAX_BATCH_FRACTION)),
            engine.token_capacity * _MAX_MEMORY_FRACTION,
            _STREAM_SECONDS,
            _FIRST_EVENT_SECONDS,
        )

    def has_memory(self, used: float, tokens: int) -> bool:
        """Return whether a request of ``tokens`` fits beside ``used`` tokens.

        One of any size is sent where nothing else is.
        """
        if self.max_tokens is None or not used:
            return True
        return used + tokens <= self.max_tokens
