"""Check the commands of ``gooseberry-ctl`` against a running cluster."""

import asyncio
import json
from collections.abc import Callable
from pathlib import Path

from typer.testing import CliRunner, Result

from gooseberrydeal._internal.cli.ctl import app
from gooseberrydeal._internal.lab.lab_client import LabClient
from gooseberrydeal._internal.lab.lab_cluster import LabCluster
from gooseberrydeal._internal.lab.lab_configuration import lab_deployment
from gooseberrydeal._internal.lab.lab_plan import LabPlan
from gooseberrydeal._internal.status_codes import ExitCode

_PLAN = LabPlan(domains=("d1",), engines_per_domain=2, adapters=6)
Ctl = Callable[..., Result]


async def _run(*arguments: str) -> Result:
    return await asyncio.to_thread(lambda: CliRunner().invoke(app, list(arguments)))


def _document(cluster: LabCluster, folder: Path, adapters: int) -> str:
    plan = LabPlan(domains=("d1",), engines_per_domain=2, adapters=adapters)
    engines = {name: engine.address for name, engine in cluster.engines.items()}
    text = lab_deployment(plan, engines, {}).text()
    path = folder / f"declared{adapters}.json"
    path.write_text(text)
    return str(path)


def test_submit_status_explain_drain_and_top(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = LabCluster(_PLAN)
        await cluster.start()
        settings = tmp_path / "ctl.json"
        settings.write_text(cluster.ctl_settings("anna").model_dump_json())
        options = ("--settings", str(settings))
        try:
            await _check_submit(cluster, tmp_path, options)
            await _check_status_and_drain(cluster, options)
        finally:
            await cluster.stop()

    asyncio.run(scenario())


async def _check_submit(
    cluster: LabCluster, folder: Path, options: tuple[str, str]
) -> None:
    document = _document(cluster, folder, 8)
    difference = await _run("diff", document, *options)
    assert "base revision 1" in difference.output
    assert "+ adapter/a00007" in difference.output
    submitted = await _run("submit", document, *options, "--base", "1", "--wait", "5")
    assert submitted.exit_code == 0, submitted.output
    assert "in force on every node" in submitted.output
    conflict = await _run(
        "submit", _document(cluster, folder, 9), *options, "--base", "1"
    )
    assert conflict.exit_code == ExitCode.CONFLICT
    assert "adapter/a00006" in conflict.output
    assert all(k.configuration.number == 2 for k in cluster.keepers.values())


async def _check_status_and_drain(
    cluster: LabCluster, options: tuple[str, str]
) -> None:
    client = LabClient(cluster.entry_urls[0])
    assert (await client.complete("a00007", "hello")).is_whole
    status = await _run("status", *options, "--json")
    state = json.loads(status.output)
    assert {host["revision"] for host in state["hosts"]} == {2}
    table = await _run("status", *options)
    assert table.exit_code == 0
    explained = await _run("explain", "a00007", *options)
    assert "ready on d1-engine" in explained.output
    assert "loaded on" in explained.output
    drained = await _run("drain", "d1-engine0", *options)
    assert drained.exit_code == 0, drained.output
    await asyncio.sleep(3)
    runs_before = len(cluster.engines["d1-engine0"].app.log.runs)
    for number in range(6):
        assert (await client.complete(f"a{number:05d}", "after")).is_whole
    assert len(cluster.engines["d1-engine0"].app.log.runs) == runs_before
    unknown = await _run("drain", "nobody", *options)
    assert unknown.exit_code == ExitCode.USAGE
    top = await _run("top", *options, "--seconds", "1")
    assert top.exit_code == 0
    await client.close()


def test_restore_republishes_after_the_platform_was_rolled_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = LabCluster(_PLAN)
        await cluster.start()
        settings = tmp_path / "ctl.json"
        settings.write_text(cluster.ctl_settings().model_dump_json())
        options = ("--settings", str(settings))
        try:
            store = cluster.platform.store
            earlier_state = store.snapshot()
            await cluster.submit()
            await asyncio.sleep(2)
            store.restore(earlier_state)
            await asyncio.sleep(5)
            keeper = next(iter(cluster.keepers.values()))
            assert keeper.configuration.number == 2
            status = json.loads((await _run("status", *options, "--json")).output)
            assert "platform_older" in status["hosts"][0]["alarms"]
            restored = await _run("restore", *options)
            assert restored.exit_code == 0, restored.output
            assert "revision 3" in restored.output
            await asyncio.sleep(3)
            assert keeper.configuration.number == 3
            conflict = await _run("restore", *options)
            assert conflict.exit_code == ExitCode.CONFLICT
        finally:
            await cluster.stop()

    asyncio.run(scenario())


def test_an_unreachable_platform_has_its_own_exit_code(tmp_path: Path) -> None:
    settings = tmp_path / "ctl.json"
    settings.write_text(
        json.dumps(
            {
                "platform": {
                    "store": "http://127.0.0.1:1",
                    "hosts": "http://127.0.0.1:1",
                    "weights": "http://127.0.0.1:1",
                },
                "keepers": ["127.0.0.1:2"],
                "author": "anna",
            }
        )
    )
    result = CliRunner().invoke(app, ["status", "--settings", str(settings)])
    assert result.exit_code == ExitCode.UNREACHABLE
    assert "no keeper can be reached" in result.output
