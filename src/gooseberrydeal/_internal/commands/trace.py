"""Print the log lines of all hosts that concern one request, ordered by time."""

from pathlib import Path
from typing import Annotated

import typer

from gooseberrydeal._internal.operations.log_trace import LogTrace
from gooseberrydeal._internal.status_codes import ExitCode


def trace(
    request: Annotated[str, typer.Argument(help="Request id.")],
    logs: Annotated[
        Path,
        typer.Option(
            help="Folder with the log files, one per host.",
            exists=True,
            file_okay=False,
        ),
    ],
) -> None:
    """Print the lines of a request and of its servers; exit 1 if there are none."""
    matching = LogTrace.from_folder(logs, request)
    for line in matching.timeline():
        typer.echo(line)
    if not matching.is_known:
        typer.echo(
            f"no line names {request}: either its reply was in time, which is not"
            " logged, or the log of its host is not in the folder",
            err=True,
        )
        raise typer.Exit(ExitCode.FAILED)
