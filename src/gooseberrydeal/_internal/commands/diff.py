"""Show what a printed configuration would change."""

import json
from typing import Annotated

import typer

from gooseberrydeal._internal.commands.common import (
    DocumentArgument,
    JsonOption,
    SettingsOption,
    entries_of,
    print_json,
    run,
    settings_of,
)
from gooseberrydeal._internal.models.settings import CtlSettings
from gooseberrydeal._internal.network.etcd_store import EtcdStore
from gooseberrydeal._internal.operations.publisher import Published, Publisher
from gooseberrydeal._internal.policy.configuration_chunks import raw_entries
from gooseberrydeal._internal.policy.configuration_diff import ConfigurationDiff

_SHOWN = 50


def diff(
    document: DocumentArgument,
    settings: SettingsOption,
    as_json: JsonOption = False,
    most: Annotated[int, typer.Option(help="Entries to show.")] = _SHOWN,
) -> None:
    """Compare a configuration with the one in the platform."""
    entries = entries_of(document)
    current = run(_current(settings_of(settings)))
    wanted = raw_entries(entries)
    found = ConfigurationDiff.between(current.entries, wanted)
    if as_json:
        print_json(
            {
                "base": current.number,
                "added": found.added,
                "removed": found.removed,
                "changed": found.changed,
            }
        )
        return
    typer.echo(f"base revision {current.number}")
    lines = [f"+ {key}" for key in found.added]
    lines += [f"- {key}" for key in found.removed]
    for key in found.changed:
        lines.append(f"~ {key}")
        lines += _fields(current.entries[key], wanted[key])
    for line in lines[:most]:
        typer.echo(line)
    if len(lines) > most:
        typer.echo(f"... and {len(lines) - most} more lines")


async def _current(settings: CtlSettings) -> Published:
    store = EtcdStore.from_url(settings.platform.store)
    try:
        return await Publisher(store, settings.author).current()
    finally:
        await store.close()


def _fields(old: dict[str, object], new: dict[str, object]) -> list[str]:
    return [
        f"    {name}: {json.dumps(old.get(name))} -> {json.dumps(new.get(name))}"
        for name in sorted(old.keys() | new.keys())
        if old.get(name) != new.get(name)
    ]
