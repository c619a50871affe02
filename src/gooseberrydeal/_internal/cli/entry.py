"""Accept requests from callers and relay the responses."""

from collections.abc import Awaitable, Callable

import typer

from gooseberrydeal._internal.cli.program import (
    CheckOption,
    Node,
    SettingsArgument,
    run_node,
    settings_or_exit,
)
from gooseberrydeal._internal.models.settings import EntrySettings
from gooseberrydeal._internal.operations.entry.entry_node import EntryNode
from gooseberrydeal._internal.operations.operator_api import OperatorApi
from gooseberrydeal._internal.utils.clock import SystemClock

app = typer.Typer(help=__doc__, add_completion=False)


@app.command(help=__doc__)
def entry(
    settings: SettingsArgument,
    check_settings: CheckOption = False,
) -> None:
    """Run an entry until it is stopped, or only check its settings."""
    checked = settings_or_exit(settings, EntrySettings)
    if check_settings:
        typer.echo(f"{settings}: correct")
        return

    def build() -> tuple[Node, Callable[[], Awaitable[None]]]:
        node = EntryNode.from_settings(checked, SystemClock())
        api = OperatorApi(node, checked.operators)
        return api, api.close

    run_node(checked.log_level, build)


def main() -> None:
    """Run ``gooseberry-entry``."""
    app()
