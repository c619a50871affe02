"""Write an HTML page with tables and plots of saved runs."""

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

_BUCKET_SECONDS: Final = 1.0
_TAIL_PERCENT: Final = 99

Run = dict[str, Any]


def write_report(folder: Path, page: Path) -> int:
    """Write the page; return the number of runs that it shows."""
    runs = [json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))]
    by_scenario: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        by_scenario[f"{run['scenario']} {run['deployment']} {run['seed']}"].append(run)
    parts = ["<!doctype html><meta charset=utf-8><title>gooseberrydeal bench</title>"]
    for name, scenario_runs in by_scenario.items():
        parts.append(
            f"<h1>{html.escape(name)}</h1>{_table(scenario_runs)}{_plots(scenario_runs)}"
        )
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
        "p99 time to first token (s)",
        "queue depth",
        "loads per second",
        "refusals per second",
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
            buckets[int(at / _BUCKET_SECONDS)].append(seconds)
    bucket_numbers = sorted(buckets)
    tails = [
        sorted(buckets[bucket])[len(buckets[bucket]) * _TAIL_PERCENT // 100]
        for bucket in bucket_numbers
    ]
    return [bucket * _BUCKET_SECONDS for bucket in bucket_numbers], tails


def _per_second(times: list[float]) -> tuple[list[float], list[float]]:
    counts: dict[int, int] = defaultdict(int)
    for at in times:
        counts[int(at / _BUCKET_SECONDS)] += 1
    last = max(counts, default=0)
    bucket_numbers = range(last + 1)
    return [number * _BUCKET_SECONDS for number in bucket_numbers], [
        float(counts[number]) for number in bucket_numbers
    ]
