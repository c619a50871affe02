"""Run a node until SIGTERM or SIGINT."""

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

SettingsArgument = Annotated[
    Path, typer.Argument(help="Path of the settings file (JSON with comments).")
]
CheckOption = Annotated[
    bool, typer.Option("--check-settings", help="Validate the settings and exit.")
]


class Node(Protocol):
    """Describe a node that can be started and stopped."""

    async def start(self) -> None:
        """Start all tasks."""
        ...

    async def stop(self) -> int:
        """Shut down gracefully; return the number of responses that were cut off."""
        ...


def settings_or_exit(path: Path, model: type[_Model]) -> _Model:
    """Load and validate settings; on failure, print the problems and exit."""
    try:
        return load_settings(path, model)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.USAGE) from error


def run_node(
    log_level: str, build: Callable[[], tuple[Node, Callable[[], Awaitable[None]]]]
) -> None:
    """Run a node until SIGTERM or SIGINT, then exit.

    ``build`` returns the node and a callback that runs after the node has stopped.
    The exit code tells whether the node failed to start or cut responses off.
    """
    configure_logging(log_level)
    raise typer.Exit(asyncio.run(_serve(build)))


async def _serve(
    build: Callable[[], tuple[Node, Callable[[], Awaitable[None]]]],
) -> ExitCode:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    node, close = build()
    try:
        await node.start()
    except OSError:
        logger.exception("cannot start: listening on a configured address failed")
        return ExitCode.FAILED
    await stop_requested.wait()
    cut_count = await node.stop()
    await close()
    if cut_count:
        logger.error("shutdown cut off %d responses that were still running", cut_count)
        return ExitCode.STREAMS_CUT
    return ExitCode.OK
