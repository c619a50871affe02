"""Share what several commands do."""

import asyncio
import json
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer

from gooseberrydeal._internal.declarations.document import read_document
from gooseberrydeal._internal.exceptions import (
    ConflictError,
    DeclarationError,
    GooseberrydealError,
    PeerError,
    SettingsError,
    StoreError,
)
from gooseberrydeal._internal.models.entries import Entry
from gooseberrydeal._internal.models.settings import CtlSettings
from gooseberrydeal._internal.status_codes import ExitCode
from gooseberrydeal._internal.utils.settings_file import load_settings

_Result = TypeVar("_Result")

SettingsOption = Annotated[
    Path,
    typer.Option(
        "--settings", envvar="GOOSEBERRY_SETTINGS", help="Settings of this program."
    ),
]
DocumentArgument = Annotated[
    str, typer.Argument(help="Printed configuration, or - for standard input.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def fail(error: GooseberrydealError) -> typer.Exit:
    """Print an error and return the exit that fits it."""
    typer.echo(f"error: {error}", err=True)
    if isinstance(error, (DeclarationError, SettingsError)):
        return typer.Exit(ExitCode.USAGE)
    if isinstance(error, ConflictError):
        return typer.Exit(ExitCode.CONFLICT)
    if isinstance(error, (StoreError, PeerError)):
        return typer.Exit(ExitCode.UNREACHABLE)
    return typer.Exit(ExitCode.FAILED)


def settings_of(path: Path) -> CtlSettings:
    """Return the checked settings, or exit."""
    try:
        return load_settings(path, CtlSettings)
    except SettingsError as error:
        raise fail(error) from error


def entries_of(document: str) -> list[Entry]:
    """Return the entries of a printed configuration, or exit."""
    try:
        return read_document(_text_of(document))
    except DeclarationError as error:
        raise fail(error) from error


def run(work: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a command's work, or exit with its error."""
    try:
        return asyncio.run(work)
    except GooseberrydealError as error:
        raise fail(error) from error


def print_json(value: object) -> None:
    """Print a value as JSON."""
    typer.echo(json.dumps(value, indent=1, sort_keys=True))


def _text_of(document: str) -> str:
    if document == "-":
        return sys.stdin.read()
    try:
        return Path(document).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise DeclarationError([f"{document}: cannot be read: {error}"]) from error
