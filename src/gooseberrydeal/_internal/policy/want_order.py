"""Decide which waiting request's adapter is loaded first."""

from collections.abc import Mapping
from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey

# A request with less time left than a load takes is late whatever is done.
_LOAD_SECONDS: Final = 0.15


def by_slack(slacks: Mapping[AdapterCopyKey, float]) -> list[AdapterCopyKey]:
    """Return the wanted copies in the order of their loads.

    ``slacks`` are the seconds until the most urgent request of each copy would miss its
    target latency. Answers to bursts that need more adapters than there are slots: what
    can still be in time goes first, the tightest before the others; what is late
    follows, the longest wait first.
    """

    def rank(key: AdapterCopyKey) -> tuple[bool, float, AdapterCopyKey]:
        slack = slacks[key]
        return slack < _LOAD_SECONDS, slack, key

    return sorted(slacks, key=rank)
