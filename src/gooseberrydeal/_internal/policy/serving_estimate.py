"""Estimate how long an engine takes to begin a request and to run it."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from gooseberrydeal._internal.policy.speeds.default_speed import DEFAULT_ENGINE_SPEED


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Describe the load of an engine.

    ``observed_wait`` is how long requests have lately waited there for a response, in
    seconds. ``slowdown`` is 1.0 for an engine at its usual ``speed``, higher if slower.
    """

    requests: float
    pending_prefill_tokens: float
    slowdown: float
    observed_wait: float
    speed: EngineSpeed = DEFAULT_ENGINE_SPEED

    def wait_seconds(self, prompt_tokens: int) -> float:
        """Return the time until a request begins to run."""
        tokens = self.pending_prefill_tokens + prompt_tokens
        prefill = self.speed.prefill_seconds(tokens) * self.slowdown
        return max(prefill, self.observed_wait)

    def run_seconds(self, output_tokens: int) -> float:
        """Return the time from the first token of the output to the last."""
        step = self.speed.generation_step_seconds(self.requests)
        return output_tokens * step * self.slowdown
