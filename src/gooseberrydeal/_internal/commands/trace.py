"""Print what the logs of all hosts say of one request, in order."""

from pathlib import Path
from typing import Annotated

import typer

from gooseberrydeal._internal.operations.log_trace import LogTrace
from gooseberrydeal._internal.status_codes import ExitCode


def trace(
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[
        Path,
        typer.Option(
            help="Folder with the hosts' logs, one file each.",
            exists=True,
            file_okay=False,
        ),
    ],
) -> None:
    """Trace a request from its id to its cause, by logs only."""
    found = LogTrace.from_folder(logs, request)
    for line in found.timeline():
        typer.echo(line)
    if not found.is_known:
        typer.echo(
            f"no line names {request}: it was served in time, or its host's log is"
            " not in the folder",
            err=True,
        )
        raise typer.Exit(ExitCode.FAILED)
