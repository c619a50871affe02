"""Test the calculations and the report of the benchmark tool."""

import json
from pathlib import Path

from gooseberrydeal._internal.lab.bench.arrival import Arrival
from gooseberrydeal._internal.lab.bench.quantiles import Quantiles
from gooseberrydeal._internal.lab.bench.report import write_report
from gooseberrydeal._internal.lab.bench.run_record import RunRecord
from gooseberrydeal._internal.lab.bench.sample import Sample
from gooseberrydeal._internal.lab.bench.stalls import max_in_window
from gooseberrydeal._internal.lab.bench.violations import count_violations
from gooseberrydeal._internal.lab.bench.workload import Popularity
from gooseberrydeal._internal.lab.lab_client import CallResult
from gooseberrydeal._internal.lab.least_squares import fit_line
from tests.lib.answers import expected_text


def _sample(result: CallResult) -> Sample:
    return Sample(Arrival(0.0, 3, 4), result, 0.0)


def test_share_of_requests_outside_the_most_popular_adapters() -> None:
    # Fraction of requests for other than the 72 most popular of 3000 adapters, at two
    # Zipf exponents. The stall benchmark compares its results with this fraction.
    assert round(Popularity(3000, 1.2, 1).share_outside(72), 3) == 0.243
    assert round(Popularity(3000, 1.0, 1).share_outside(72), 3) == 0.434


def test_each_kind_of_violation_is_counted_separately() -> None:
    correct = expected_text("a00003@v2", "p", 4)
    wrong_version = expected_text("a00003@v1", "p", 4)
    record = RunRecord("cost")
    record.evicted_in_use = 2
    record.samples = [
        _sample(CallResult(200, correct, is_whole=True)),
        _sample(CallResult(200, wrong_version, is_whole=True)),
        _sample(CallResult(200, correct.replace("w2 ", ""), is_whole=True)),
        _sample(CallResult(200, correct[:5])),
        _sample(CallResult(200, correct[:5], reason="stream_cut")),
        _sample(CallResult(503, reason="overloaded")),
        _sample(CallResult(0, reason="gone")),
    ]
    assert count_violations(record) == {
        "wrong or mixed": 2,
        "silently short": 1,
        "lost: gone": 1,
        "evicted_in_use": 2,
    }


def test_window_maximum_quantile_and_linear_fit() -> None:
    assert max_in_window([0.0, 0.5, 1.9, 2.0, 2.4, 9.0]) == 4
    assert 0.098 < Quantiles([n / 1000 for n in range(1, 101)]).at(99) < 0.1
    slope, intercept = fit_line([(1, 5.0), (2, 7.0), (3, 9.0)])
    assert (round(slope, 6), round(intercept, 6)) == (2.0, 3.0)


def test_report_is_written_for_all_runs(tmp_path: Path) -> None:
    run = {
        "scenario": "stalls",
        "deployment": "landshut",
        "seed": 1,
        "policy": "cost",
        "figures": {"p99_first": 0.1},
        "series": [{"at": 0.5, "queued": 1}],
        "fetch_times": [0.1, 1.2],
        "first_seconds": [[0.1, 0.2, "short"], [1.1, None, "short"]],
        "refused_at": [[0.4, "overloaded"]],
    }
    (tmp_path / "one.json").write_text(json.dumps(run))
    page = tmp_path / "report.html"
    assert write_report(tmp_path, page) == 1
    assert "data:image/png" in page.read_text()
