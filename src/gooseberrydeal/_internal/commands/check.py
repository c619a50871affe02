"""Validate a configuration document and list all of its problems."""

import typer

from gooseberrydeal._internal.commands.common import DocumentArgument, load_entries


def check(document: DocumentArgument) -> None:
    """Print the number of entries, or exit with the list of problems."""
    entries = load_entries(document)
    typer.echo(f"correct: {len(entries)} entries")
