"""Own and schedule backend servers in this host's failure domain."""

from collections.abc import Awaitable, Callable

import typer

from gooseberrydeal._internal.cli.program import (
    CheckOption,
    Node,
    SettingsArgument,
    run_node,
    settings_or_exit,
)
from gooseberrydeal._internal.models.settings import KeeperSettings
from gooseberrydeal._internal.operations.keeper.keeper_node import KeeperNode
from gooseberrydeal._internal.operations.operator_api import OperatorApi
from gooseberrydeal._internal.utils.clock import SystemClock

app = typer.Typer(help=__doc__, add_completion=False)


@app.command(help=__doc__)
def keeper(
    settings: SettingsArgument,
    check_settings: CheckOption = False,
) -> None:
    """Run a keeper until it is stopped, or only check its settings."""
    checked = settings_or_exit(settings, KeeperSettings)
    if check_settings:
        typer.echo(f"{settings}: correct")
        return

    def build() -> tuple[Node, Callable[[], Awaitable[None]]]:
        node = KeeperNode.from_settings(checked, SystemClock())
        api = OperatorApi(node, checked.operators)
        return api, api.close

    run_node(checked.log_level, build)


def main() -> None:
    """Run ``gooseberry-keeper``."""
    app()
