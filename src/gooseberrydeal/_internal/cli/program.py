"""Run a program until it is told to stop."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Protocol, TypeVar

import typer
from pydantic import BaseModel

from gooseberrydeal._internal.exceptions import SettingsError
from gooseberrydeal._internal.status_codes import ExitCode
from gooseberrydeal._internal.utils.json_log import configure_logging
from gooseberrydeal._internal.utils.settings_file import load_settings

logger = logging.getLogger(__name__)

_Model = TypeVar("_Model", bound=BaseModel)

SettingsArgument = Annotated[Path, typer.Argument(help="Settings, JSON with comments.")]
CheckOption = Annotated[
    bool, typer.Option("--check-settings", help="Check the settings and exit.")
]


class Node(Protocol):
    """Start and stop the tasks of a program."""

    async def start(self) -> None:
        """Begin all tasks."""
        ...

    async def stop(self) -> int:
        """End in an orderly way; return how many answers were cut."""
        ...


def settings_or_exit(path: Path, model: type[_Model]) -> _Model:
    """Return checked settings, or print what is wrong and exit."""
    try:
        return load_settings(path, model)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.USAGE) from error


def run_node(
    log_level: str, build: Callable[[], tuple[Node, Callable[[], Awaitable[None]]]]
) -> None:
    """Run a node until SIGTERM or SIGINT, then exit with what became of its work."""
    configure_logging(log_level)
    raise typer.Exit(asyncio.run(_serve(build)))


async def _serve(
    build: Callable[[], tuple[Node, Callable[[], Awaitable[None]]]],
) -> ExitCode:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    node, close = build()
    try:
        await node.start()
    except OSError:
        logger.exception("the program could not listen on its addresses")
        return ExitCode.FAILED
    await stopping.wait()
    cut = await node.stop()
    await close()
    if cut:
        logger.error("%d answers were cut", cut)
        return ExitCode.STREAMS_CUT
    return ExitCode.OK
