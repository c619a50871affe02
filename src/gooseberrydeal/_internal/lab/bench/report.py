"""Write one page with the plots of kept runs."""

import base64
import html
import io
import json
from collections import defaultdict
from pathlib import Path
from typing import Any, Final

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt

_STEP_SECONDS: Final = 1.0
_PERCENT: Final = 99

Run = dict[str, Any]


def write_report(folder: Path, page: Path) -> int:
    """Write the page; return how many runs it shows."""
    runs = [json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))]
    by_scenario: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        by_scenario[f"{run['scenario']} {run['deployment']} {run['seed']}"].append(run)
    parts = ["<!doctype html><meta charset=utf-8><title>gooseberrydeal bench</title>"]
    for name, listed in by_scenario.items():
        parts.append(f"<h1>{html.escape(name)}</h1>{_table(listed)}{_plots(listed)}")
    page.write_text("\n".join(parts))
    return len(runs)


def _table(runs: list[Run]) -> str:
    keys = list(runs[0]["figures"])
    head = "".join(f"<th>{html.escape(key)}</th>" for key in keys)
    rows = [
        f"<tr><td>{html.escape(run['policy'])}</td>"
        + "".join(f"<td>{run['figures'].get(key, '')}</td>" for key in keys)
        + "</tr>"
        for run in runs
    ]
    return f"<table border=1><tr><th>policy</th>{head}</tr>{''.join(rows)}</table>"


def _plots(runs: list[Run]) -> str:
    figure, axes = plt.subplots(2, 2, figsize=(12, 8))
    for run in runs:
        label = run["policy"]
        axes[0][0].plot(*_tail_over_time(run), label=label)
        at = [point["at"] for point in run["series"]]
        axes[0][1].plot(at, [point["queued"] for point in run["series"]], label=label)
        axes[1][0].plot(*_per_second(run["fetch_times"]), label=label)
        axes[1][1].plot(*_per_second([at for at, _ in run["refused_at"]]), label=label)
    titles = (
        "p99 first token, s",
        "queue depth",
        "loads a second",
        "refusals a second",
    )
    for axis, title in zip(axes.flat, titles, strict=True):
        axis.set_title(title)
        axis.set_xlabel("seconds")
        axis.legend()
    buffer = io.BytesIO()
    figure.tight_layout()
    figure.savefig(buffer, format="png")
    plt.close(figure)
    data = base64.b64encode(buffer.getvalue()).decode()
    return f'<img src="data:image/png;base64,{data}">'


def _tail_over_time(run: Run) -> tuple[list[float], list[float]]:
    buckets: dict[int, list[float]] = defaultdict(list)
    for at, seconds, _ in run["first_seconds"]:
        if seconds is not None:
            buckets[int(at / _STEP_SECONDS)].append(seconds)
    steps = sorted(buckets)
    tails = [
        sorted(buckets[step])[len(buckets[step]) * _PERCENT // 100] for step in steps
    ]
    return [step * _STEP_SECONDS for step in steps], tails


def _per_second(times: list[float]) -> tuple[list[float], list[float]]:
    counts: dict[int, int] = defaultdict(int)
    for at in times:
        counts[int(at / _STEP_SECONDS)] += 1
    last = max(counts, default=0)
    steps = range(last + 1)
    return [s * _STEP_SECONDS for s in steps], [float(counts[s]) for s in steps]
