"""Read lists of answer events."""

from collections.abc import Sequence

from gooseberrydeal._internal.lab.answer_text import answer_words
from gooseberrydeal._internal.models.answer_events import (
    AnswerEnd,
    AnswerEvent,
    AnswerRefused,
    AnswerText,
)
from gooseberrydeal._internal.models.refusal import Refusal


def text_of(events: Sequence[AnswerEvent]) -> str:
    return "".join(event.text for event in events if isinstance(event, AnswerText))


def is_whole(events: Sequence[AnswerEvent]) -> bool:
    return isinstance(events[-1], AnswerEnd)


def refusal_of(events: Sequence[AnswerEvent]) -> Refusal:
    last = events[-1]
    assert isinstance(last, AnswerRefused)
    return last.refusal


def expected_text(adapter: str, prompt: str, tokens: int) -> str:
    return "".join(answer_words(adapter, prompt, tokens))
