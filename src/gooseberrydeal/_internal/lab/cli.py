"""Run stand-ins, demonstrations and experiments."""

import asyncio
import contextlib

import typer

from gooseberrydeal._internal.status_codes import ExitCode
from gooseberrydeal._internal.utils.json_log import configure_logging

app = typer.Typer(no_args_is_help=True, help=__doc__)


@app.callback()
def lab(log_level: str = typer.Option("error", help="Least level to log.")) -> None:
    """Run stand-ins, demonstrations and experiments."""
    configure_logging(log_level)


@app.command()
def demo(keep: bool = typer.Option(False, help="Stay up afterwards.")) -> None:
    """Show adapters served, from declaration to answer."""
    from gooseberrydeal._internal.lab.demo import Demo  # noqa: PLC0415

    with contextlib.suppress(KeyboardInterrupt):
        is_right = asyncio.run(Demo().run(keep=keep))
        raise typer.Exit(ExitCode.OK if is_right else ExitCode.FAILED)


def main() -> None:
    """Run the program."""
    app()
