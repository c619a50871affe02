"""Inspect the events of an answer."""

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
    """Return the text of all events joined."""
    return "".join(event.text for event in events if isinstance(event, AnswerText))


def is_whole(events: Sequence[AnswerEvent]) -> bool:
    """Return whether the answer ended normally."""
    return isinstance(events[-1], AnswerEnd)


def refusal_of(events: Sequence[AnswerEvent]) -> Refusal:
    """Return the refusal that ended the answer."""
    last = events[-1]
    assert isinstance(last, AnswerRefused)
    return last.refusal


def expected_text(adapter: str, prompt: str, tokens: int) -> str:
    """Return the text that the simulated engine generates for a prompt."""
    return "".join(answer_words(adapter, prompt, tokens))
