"""Define the events that make up an answer."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.plain_answer import PlainAnswer
from gooseberrydeal._internal.models.refusal import Refusal


@dataclass(frozen=True, slots=True)
class AnswerText:
    """Carry a piece of generated text; ``count`` is its number of tokens."""

    text: str
    count: int


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """Mark the end of a complete generated answer."""

    finish_reason: str
    tokens: int
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class AnswerPlain:
    """Carry the complete response of a plain service."""

    answer: PlainAnswer


@dataclass(frozen=True, slots=True)
class AnswerRefused:
    """Mark the end of an answer that was refused or is incomplete."""

    refusal: Refusal


AnswerEvent = AnswerText | AnswerEnd | AnswerPlain | AnswerRefused
