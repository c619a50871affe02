"""Count answers that break a promise."""

from gooseberrydeal._internal.lab.answer_text import answer_words
from gooseberrydeal._internal.lab.bench.run_record import RunRecord
from gooseberrydeal._internal.lab.lab_configuration import adapter_name


def count_violations(record: RunRecord) -> int:
    """Return how many answers were wrong, lost, short or evicted under."""
    wrong = 0
    for sample in record.samples:
        result = sample.result
        if result.status == 0:
            wrong += 1
        elif result.is_whole and not sample.arrival.operation:
            wrong += int(not _is_expected(sample.arrival.adapter, result.text))
        elif not result.is_whole and not result.reason:
            wrong += 1
    return wrong + record.evicted_in_use


def _is_expected(adapter: int, text: str) -> bool:
    """Check the copy that answered and that its words are whole and in order."""
    words = text.split(" ")[:-1]
    if not words or not words[0].startswith(f"{adapter_name(adapter)}@v2:"):
        return False
    expected = answer_words("x", "x", len(words))[1:]
    return [f"{word} " for word in words[1:]] == expected
