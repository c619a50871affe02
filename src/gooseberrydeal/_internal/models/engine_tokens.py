"""Describe a piece of generated text."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineTokens:
    """Hold generated text; ``finish_reason`` is empty until the last piece."""

    text: str
    count: int
    finish_reason: str = ""
    prompt_tokens: int = 0
