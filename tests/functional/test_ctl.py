"""Review, publish and watch with the operators' program."""

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


async def _run(*words: str) -> Result:
    return await asyncio.to_thread(lambda: CliRunner().invoke(app, list(words)))


def _document(cluster: LabCluster, folder: Path, adapters: int) -> str:
    plan = LabPlan(domains=("d1",), engines_per_domain=2, adapters=adapters)
    engines = {name: e.address for name, e in cluster.engines.items()}
    text = lab_deployment(plan, engines, {}).text()
    path = folder / f"declared{adapters}.json"
    path.write_text(text)
    return str(path)


def test_a_day_of_an_operator(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = LabCluster(_PLAN)
        await cluster.start()
        settings = tmp_path / "ctl.json"
        settings.write_text(cluster.ctl_settings("anna").model_dump_json())
        where = ("--settings", str(settings))
        try:
            await _publish(cluster, tmp_path, where)
            await _watch(cluster, where)
        finally:
            await cluster.stop()

    asyncio.run(scenario())


async def _publish(cluster: LabCluster, folder: Path, where: tuple[str, str]) -> None:
    document = _document(cluster, folder, 8)
    shown = await _run("diff", document, *where)
    assert "base revision 1" in shown.output
    assert "+ adapter/a00007" in shown.output
    done = await _run("submit", document, *where, "--base", "1", "--wait", "5")
    assert done.exit_code == 0, done.output
    assert "in force on every node" in done.output
    again = await _run("submit", _document(cluster, folder, 9), *where, "--base", "1")
    assert again.exit_code == ExitCode.CONFLICT
    assert "adapter/a00006" in again.output
    assert all(k.configuration.number == 2 for k in cluster.keepers.values())


async def _watch(cluster: LabCluster, where: tuple[str, str]) -> None:
    client = LabClient(cluster.entry_urls[0])
    assert (await client.complete("a00007", "hello")).is_whole
    status = await _run("status", *where, "--json")
    state = json.loads(status.output)
    assert {host["revision"] for host in state["hosts"]} == {2}
    table = await _run("status", *where)
    assert table.exit_code == 0
    explained = await _run("explain", "a00007", *where)
    assert "ready on d1-engine" in explained.output
    assert "loaded on" in explained.output
    drained = await _run("drain", "d1-engine0", *where)
    assert drained.exit_code == 0, drained.output
    await asyncio.sleep(3)
    before = len(cluster.engines["d1-engine0"].app.log.runs)
    for number in range(6):
        assert (await client.complete(f"a{number:05d}", "after")).is_whole
    assert len(cluster.engines["d1-engine0"].app.log.runs) == before
    unknown = await _run("drain", "nobody", *where)
    assert unknown.exit_code == ExitCode.USAGE
    watched = await _run("top", *where, "--seconds", "1")
    assert watched.exit_code == 0
    await client.close()


def test_a_platform_that_came_back_older_is_brought_forward(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = LabCluster(_PLAN)
        await cluster.start()
        settings = tmp_path / "ctl.json"
        settings.write_text(cluster.ctl_settings().model_dump_json())
        where = ("--settings", str(settings))
        try:
            store = cluster.platform.store
            old = store.snapshot()
            await cluster.submit()
            await asyncio.sleep(2)
            store.restore(old)
            await asyncio.sleep(5)
            keeper = next(iter(cluster.keepers.values()))
            assert keeper.configuration.number == 2
            status = json.loads((await _run("status", *where, "--json")).output)
            assert "platform_older" in status["hosts"][0]["alarms"]
            restored = await _run("restore", *where)
            assert restored.exit_code == 0, restored.output
            assert "revision 3" in restored.output
            await asyncio.sleep(3)
            assert keeper.configuration.number == 3
            again = await _run("restore", *where)
            assert again.exit_code == ExitCode.CONFLICT
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
