"""Model the capacity and speed of an engine."""

from dataclasses import dataclass


@dataclass(frozen=True)
class EngineModel:
    """Set the capacity and speed of an engine stand-in.

    The first token takes ``prefill_seconds`` and each later one ``token_seconds``.
    The time per token grows by the fraction ``batch_slope`` for each additional
    request in the batch, and by ``adapter_slope`` for each additional adapter.
    """

    adapter_slots: int = 8
    concurrency: int = 8
    prefill_seconds: float = 0.05
    token_seconds: float = 0.02
    batch_slope: float = 0.0
    adapter_slope: float = 0.0

    def answer_seconds(self, tokens: int) -> float:
        """Return the seconds that an answer takes when it runs alone in the batch."""
        return self.prefill_seconds + (tokens - 1) * self.token_seconds

    def token_time(self, running: int, adapters: int) -> float:
        """Return the seconds per token in a batch of this size and adapter count."""
        factor = 1.0 + self.batch_slope * max(0, running - 1)
        factor += self.adapter_slope * max(0, adapters - 1)
        return self.token_seconds * factor
