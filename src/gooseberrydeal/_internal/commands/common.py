"""Provide options and helpers that several commands share."""

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
        "--settings",
        envvar="GOOSEBERRY_SETTINGS",
        help="Path of the settings file of gooseberry-ctl.",
    ),
]
DocumentArgument = Annotated[
    str,
    typer.Argument(help="Path of a configuration document, or - for standard input."),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the result as JSON.")]


def exit_for_error(error: GooseberrydealError) -> typer.Exit:
    """Print an error; return the exit with the code for its class."""
    typer.echo(f"error: {error}", err=True)
    if isinstance(error, (DeclarationError, SettingsError)):
        return typer.Exit(ExitCode.USAGE)
    if isinstance(error, ConflictError):
        return typer.Exit(ExitCode.CONFLICT)
    if isinstance(error, (StoreError, PeerError)):
        return typer.Exit(ExitCode.UNREACHABLE)
    return typer.Exit(ExitCode.FAILED)


def load_ctl_settings(path: Path) -> CtlSettings:
    """Load and validate the settings; on failure, print why and exit."""
    try:
        return load_settings(path, CtlSettings)
    except SettingsError as error:
        raise exit_for_error(error) from error


def load_entries(document: str) -> list[Entry]:
    """Load and validate a document; on failure, print all problems and exit."""
    try:
        return read_document(_read_text(document))
    except DeclarationError as error:
        raise exit_for_error(error) from error


def run(work: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a command's coroutine; on a known error, print it and exit."""
    try:
        return asyncio.run(work)
    except GooseberrydealError as error:
        raise exit_for_error(error) from error


def print_json(value: object) -> None:
    """Print a value as indented JSON with sorted keys."""
    typer.echo(json.dumps(value, indent=1, sort_keys=True))


def _read_text(document: str) -> str:
    if document == "-":
        return sys.stdin.read()
    try:
        return Path(document).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise DeclarationError([f"{document}: cannot be read: {error}"]) from error
