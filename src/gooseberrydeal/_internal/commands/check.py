"""Validate a configuration document and list all of its problems."""

import typer

from gooseberrydeal._internal.commands.common import DocumentArgument, entries_of


def check(document: DocumentArgument) -> None:
    """Print the number of entries, or exit with the list of problems."""
    entries = entries_of(document)
    typer.echo(f"correct: {len(entries)} entries")
