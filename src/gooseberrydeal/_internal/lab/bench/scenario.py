"""Define what a scenario is."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from gooseberrydeal._internal.lab.bench.run_record import RunRecord

Figures = dict[str, float]


class Scenario(Protocol):
    """Run under a policy and judge the figures."""

    @property
    def baselines(self) -> Sequence[str]:
        """Return the policies to compare with."""
        ...

    async def run(self, policy: str) -> tuple[RunRecord, Figures]:
        """Return the record of a run and the figures taken from it."""
        ...

    def ratios(self, ours: Figures, baselines: Mapping[str, Figures]) -> Figures:
        """Return the figures that the targets bound."""
        ...

    def targets(self) -> Mapping[str, tuple[str, float]]:
        """Return for each ratio ``<=`` or ``>=`` and its bound."""
        ...
