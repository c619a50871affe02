"""Name every wrong declaration."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from gooseberrydeal import DeclarationError, Deployment
from gooseberrydeal._internal.cli.ctl import app
from gooseberrydeal._internal.declarations.document import read_document
from tests.lib.builders import deployment

Edit = Callable[[dict[str, dict[str, Any]]], None]


def _document(edit: Edit) -> str:
    value = json.loads(deployment().text())
    by_key = {f"{e['kind']}/{e['name']}": e for e in value["entries"]}
    edit(by_key)
    value["entries"] = list(by_key.values())
    return json.dumps(value)


def _set(key: str, **values: Any) -> Edit:
    return lambda entries: entries[key].update(values)


def _without(key: str) -> Edit:
    def edit(entries: dict[str, dict[str, Any]]) -> None:
        del entries[key]

    return edit


_WRONG: list[tuple[Edit, str]] = [
    (_set("adapter/a1", service="nowhere"), "adapter/a1: service 'nowhere'"),
    (_set("adapter/a1", default_version="v9"), "adapter/a1: default_version 'v9'"),
    (_set("adapter/a1", colour="red"), "adapter/a1: colour: unknown key"),
    (_set("adapter/a1", versions=[]), "adapter/a1: versions"),
    (_set("server/engine0", address="localhost:80"), "server/engine0: address"),
    (_set("server/engine0", service="booking"), ""),
    (_set("server/engine0", adapter_slots=0), "adapter_slots must be at least 1"),
    (_set("server/engine0", state="asleep"), "server/engine0: state"),
    (_set("caller/counter", key_hashes=["abc"]), "caller/counter: key_hashes"),
    (_set("caller/counter", services=["nowhere"]), "caller/counter: service 'nowhere'"),
    (_set("service/booking", default_class="fast"), "work class 'fast'"),
    (_without("limits/platform"), "limits/platform: missing"),
    (_without("class/short"), "work class 'short'"),
    (_set("adapter/a1", name="bad name!"), "name"),
]


@pytest.mark.parametrize(("edit", "expected"), [w for w in _WRONG if w[1]])
def test_check_names_the_error(edit: Edit, expected: str, tmp_path: Path) -> None:
    path = tmp_path / "wrong.json"
    path.write_text(_document(edit))
    result = CliRunner().invoke(app, ["check", str(path)])
    assert result.exit_code == 2
    assert expected in result.output


def test_all_errors_are_listed_at_once() -> None:
    def edit(entries: dict[str, dict[str, Any]]) -> None:
        entries["adapter/a1"]["service"] = "nowhere"
        entries["adapter/a2"]["default_version"] = "v9"
        entries["server/engine0"]["address"] = "x"

    with pytest.raises(DeclarationError) as caught:
        read_document(_document(edit))
    assert len(caught.value.problems) == 3


def test_the_same_declarations_print_the_same_bytes() -> None:
    assert deployment().text() == deployment().text()
    assert read_document(deployment().text())


def test_a_double_declaration_is_refused() -> None:
    declared = deployment()
    declared.work_class("short")
    with pytest.raises(DeclarationError, match="declared twice"):
        declared.text()


def test_a_wrong_value_is_refused_where_it_is_declared() -> None:
    with pytest.raises(DeclarationError, match="weight"):
        Deployment("x").work_class("short", weight=-1)


@pytest.mark.parametrize("name", ["landshut", "halskov"])
def test_the_examples_are_correct(name: str) -> None:
    namespace: dict[str, Any] = {"__name__": name}
    path = Path(__file__).parents[2] / "examples" / f"{name}.py"
    exec(compile(path.read_text(), str(path), "exec"), namespace)
    assert len(read_document(namespace[name].text())) > 3000
