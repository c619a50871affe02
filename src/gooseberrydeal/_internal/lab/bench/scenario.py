"""Define the interface of a benchmark scenario."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from gooseberrydeal._internal.lab.bench.run_record import RunRecord

Figures = dict[str, float]


class Scenario(Protocol):
    """Run a workload under a policy, and compare the figures with targets."""

    @property
    def baselines(self) -> Sequence[str]:
        """Return the names of the baseline policies."""
        ...

    async def run(self, policy: str) -> tuple[RunRecord, Figures]:
        """Run under a policy; return the record and the figures computed from it."""
        ...

    def ratios(self, ours: Figures, baselines: Mapping[str, Figures]) -> Figures:
        """Return the ratios that the targets apply to."""
        ...

    def targets(self) -> Mapping[str, tuple[str, float]]:
        """Return each target ratio's comparison (``<=`` or ``>=``) and bound."""
        ...
