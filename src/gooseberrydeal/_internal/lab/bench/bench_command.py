"""Run a benchmark scenario under the product's policy and the baselines."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import typer

from gooseberrydeal._internal.lab.bench.batch import Batch
from gooseberrydeal._internal.lab.bench.blocking import Blocking
from gooseberrydeal._internal.lab.bench.crest import Crest
from gooseberrydeal._internal.lab.bench.deployments import DEPLOYMENTS
from gooseberrydeal._internal.lab.bench.run_record import RunRecord
from gooseberrydeal._internal.lab.bench.scenario import Figures, Scenario
from gooseberrydeal._internal.lab.bench.stalls import Stalls
from gooseberrydeal._internal.lab.bench.stragglers import Stragglers
from gooseberrydeal._internal.lab.bench.violations import count_violations
from gooseberrydeal._internal.lab.lab_plan import LabPlan

SCENARIOS: Final[dict[str, Callable[[LabPlan, int], Scenario]]] = {
    "stalls": Stalls,
    "crest": Crest,
    "blocking": Blocking,
    "stragglers": Stragglers,
    "batch": Batch,
}
_PRODUCT_POLICY: Final = "cost"


class BenchCommand:
    """Run a scenario, check its targets, and optionally save data for the report."""

    def __init__(
        self, name: str, deployment: str, seed: int, folder: Path | None
    ) -> None:
        self._name = name
        self._deployment = deployment
        self._seed = seed
        self._folder = folder
        self._scenario = SCENARIOS[name](DEPLOYMENTS[deployment], seed)

    async def run(self, policy: str | None) -> dict[str, Any]:
        """Return the result of one policy, or a comparison with the baselines."""
        if policy is not None:
            record, figures = await self._run(policy)
            return self._run_header() | {
                "ours": figures,
                "violations": _report_violations(record),
            }
        record, ours = await self._run(_PRODUCT_POLICY)
        baselines = {}
        for name in self._scenario.baselines:
            _, baselines[name] = await self._run(name)
        ratios = self._scenario.ratios(ours, baselines)
        targets = self._scenario.targets()
        is_met = all(
            ratios[key] <= bound if sign == "<=" else ratios[key] >= bound
            for key, (sign, bound) in targets.items()
        )
        violations = _report_violations(record)
        return self._run_header() | {
            "ours": ours,
            "baselines": baselines,
            "ratio": {key: round(value, 4) for key, value in ratios.items()},
            "target": {
                key: f"{sign} {bound}" for key, (sign, bound) in targets.items()
            },
            "met": is_met and violations == 0,
            "violations": violations,
        }

    async def _run(self, policy: str) -> tuple[RunRecord, Figures]:
        typer.echo(f"{self._name}: running {policy}", err=True)
        record, figures = await self._scenario.run(policy)
        typer.echo(f"  {json.dumps(figures)}", err=True)
        if self._folder is not None:
            self._save(policy, record, figures)
        return record, figures

    def _save(self, policy: str, record: RunRecord, figures: Figures) -> None:
        assert self._folder is not None
        self._folder.mkdir(parents=True, exist_ok=True)
        value = {
            **self._run_header(),
            "policy": policy,
            "figures": figures,
            "series": record.series,
            "fetch_times": record.fetch_times,
            "first_seconds": [
                [s.arrival.at, s.first_seconds, s.arrival.work_class]
                for s in record.samples
            ],
            "refused_at": [
                [s.arrival.at, s.result.reason]
                for s in record.samples
                if not s.result.is_whole
            ],
        }
        name = f"{self._name}-{self._deployment}-{self._seed}-{policy}.json"
        (self._folder / name).write_text(json.dumps(value))

    def _run_header(self) -> dict[str, Any]:
        return {
            "scenario": self._name,
            "deployment": self._deployment,
            "seed": self._seed,
        }


def _report_violations(record: RunRecord) -> int:
    """Print the count of each kind of violation; return the total."""
    found = count_violations(record)
    for kind, number in found.items():
        typer.echo(f"  violation: {number} x {kind}", err=True)
    return found.total()
