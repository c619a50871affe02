"""Describe the parts of an answer."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.plain_answer import PlainAnswer
from gooseberrydeal._internal.models.refusal import Refusal


@dataclass(frozen=True, slots=True)
class AnswerText:
    """Carry generated text."""

    text: str
    count: int


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """End a whole generated answer."""

    finish_reason: str
    tokens: int
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class AnswerPlain:
    """Carry the whole answer of a plain service."""

    answer: PlainAnswer


@dataclass(frozen=True, slots=True)
class AnswerRefused:
    """End without a whole answer."""

    refusal: Refusal


AnswerEvent = AnswerText | AnswerEnd | AnswerPlain | AnswerRefused
