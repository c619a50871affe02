"""Define a chunk of an engine's output stream."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineTokens:
    """Carry a piece of generated text; ``count`` is its number of tokens.

    ``finish_reason`` is empty in all but the last chunk.
    """

    text: str
    count: int
    finish_reason: str = ""
    prompt_tokens: int = 0
