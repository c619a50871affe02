"""Count answers that violate a guarantee."""

from collections import Counter

from gooseberrydeal._internal.lab.answer_text import answer_words
from gooseberrydeal._internal.lab.bench.run_record import RunRecord
from gooseberrydeal._internal.lab.bench.sample import Sample
from gooseberrydeal._internal.lab.lab_configuration import adapter_name


def count_violations(record: RunRecord) -> Counter[str]:
    """Count wrong, lost and truncated answers, and evictions of adapters in use."""
    found: Counter[str] = Counter()
    for sample in record.samples:
        kind = _violation_kind(sample)
        if kind is not None:
            found[kind] += 1
    if record.evicted_in_use:
        found["evicted_in_use"] = record.evicted_in_use
    return found


def _violation_kind(sample: Sample) -> str | None:
    result = sample.result
    if result.status == 0:
        return f"lost: {result.reason}"
    if not result.is_whole:
        return None if result.reason else "silently short"
    if sample.arrival.operation or _is_expected(sample.arrival.adapter, result.text):
        return None
    return "wrong or mixed"


def _is_expected(adapter: int, text: str) -> bool:
    """Return whether the right copy answered, with all words and in order."""
    words = text.split(" ")[:-1]
    if not words or not words[0].startswith(f"{adapter_name(adapter)}@v2:"):
        return False
    expected = answer_words("x", "x", len(words))[1:]
    return [f"{word} " for word in words[1:]] == expected
