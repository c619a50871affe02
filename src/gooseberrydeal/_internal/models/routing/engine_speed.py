"""Define how fast an engine prefills prompts and generates tokens."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Hold the speed of an engine at a stated slowdown of 1.0; times in seconds.

    A step generates one token for each running request. It takes ``step_seconds``, and
    ``step_seconds_per_request`` more for each running request. A step reads at most
    ``step_tokens`` prompt tokens as well, each of which lengthens it by
    ``seconds_per_prompt_token``.
    """

    seconds_per_prompt_token: float
    step_seconds: float
    step_seconds_per_request: float
    step_tokens: float

    @property
    def prompt_tokens_per_second(self) -> float:
        """Return the prefill rate."""
        return 1.0 / self.seconds_per_prompt_token

    @property
    def longest_step_seconds(self) -> float:
        """Return the duration of a step that reads as much as it can."""
        return self.step_seconds + self.step_tokens * self.seconds_per_prompt_token

    def generation_step_seconds(self, requests: float) -> float:
        """Return the duration of a step that reads no prompt."""
        return self.step_seconds + requests * self.step_seconds_per_request

    def prefill_seconds(self, prompt_tokens: float) -> float:
        """Return the time to read prompts."""
        return prompt_tokens * self.seconds_per_prompt_token
