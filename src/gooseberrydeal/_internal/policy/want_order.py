"""Choose the order in which adapters are loaded for waiting requests."""

from collections.abc import Mapping
from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey

# A request with less slack than a load takes will miss its target in any case.
_EXPECTED_LOAD_SECONDS: Final = 0.15


def by_slack(slacks: Mapping[AdapterCopyKey, float]) -> list[AdapterCopyKey]:
    """Return the requested copies in the order in which to load them.

    ``slacks`` gives for each copy the seconds until the requests that wait for it miss
    their target latency. Designed for bursts that need more adapters than there are
    slots: copies whose requests can still meet their target go first, least slack
    first; the others follow, longest overdue first.
    """

    def sort_key(key: AdapterCopyKey) -> tuple[bool, float, AdapterCopyKey]:
        slack = slacks[key]
        return slack < _EXPECTED_LOAD_SECONDS, slack, key

    return sorted(slacks, key=sort_key)
