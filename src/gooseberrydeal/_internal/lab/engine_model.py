"""Model the pace and the slots of an engine."""

from dataclasses import dataclass


@dataclass(frozen=True)
class EngineModel:
    """Say how large and how fast an engine stand-in is.

    The first token takes ``prefill_seconds``; each later one ``token_seconds``,
    stretched by ``batch_slope`` for each further request in the batch and by
    ``adapter_slope`` for each further adapter in it.
    """

    adapter_slots: int = 8
    concurrency: int = 8
    prefill_seconds: float = 0.05
    token_seconds: float = 0.02
    batch_slope: float = 0.0
    adapter_slope: float = 0.0

    def answer_time(self, tokens: int) -> float:
        """Return the seconds that an answer holds a place in the batch."""
        return self.prefill_seconds + (tokens - 1) * self.token_seconds

    def token_time(self, running: int, adapters: int) -> float:
        """Return the seconds a token takes in a batch."""
        stretch = 1.0 + self.batch_slope * max(0, running - 1)
        stretch += self.adapter_slope * max(0, adapters - 1)
        return self.token_seconds * stretch
