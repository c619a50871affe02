"""Check a printed configuration and list every problem."""

import typer

from gooseberrydeal._internal.commands.common import DocumentArgument, entries_of


def check(document: DocumentArgument) -> None:
    """Check a configuration."""
    entries = entries_of(document)
    typer.echo(f"correct: {len(entries)} entries")
