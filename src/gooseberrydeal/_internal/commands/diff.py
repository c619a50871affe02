"""Show what a configuration document would change."""

import json
from typing import Annotated

import typer

from gooseberrydeal._internal.commands.common import (
    DocumentArgument,
    JsonOption,
    SettingsOption,
    load_ctl_settings,
    load_entries,
    print_json,
    run,
)
from gooseberrydeal._internal.models.settings import CtlSettings
from gooseberrydeal._internal.network.etcd_store import EtcdStore
from gooseberrydeal._internal.operations.publisher import (
    PublishedConfiguration,
    Publisher,
)
from gooseberrydeal._internal.policy.configuration_chunks import raw_entries
from gooseberrydeal._internal.policy.configuration_diff import ConfigurationDiff

_DEFAULT_MAX_LINES = 50


def diff(
    document: DocumentArgument,
    settings: SettingsOption,
    as_json: JsonOption = False,
    most: Annotated[
        int, typer.Option(help="Maximum number of lines to show.")
    ] = _DEFAULT_MAX_LINES,
) -> None:
    """Compare a document with the configuration in the platform's store."""
    entries = load_entries(document)
    current = run(_read_current(load_ctl_settings(settings)))
    new_entries = raw_entries(entries)
    difference = ConfigurationDiff.between(current.entries, new_entries)
    if as_json:
        print_json(
            {
                "base": current.number,
                "added": difference.added,
                "removed": difference.removed,
                "changed": difference.changed,
            }
        )
        return
    typer.echo(f"base revision {current.number}")
    lines = [f"+ {key}" for key in difference.added]
    lines += [f"- {key}" for key in difference.removed]
    for key in difference.changed:
        lines.append(f"~ {key}")
        lines += _changed_fields(current.entries[key], new_entries[key])
    for line in lines[:most]:
        typer.echo(line)
    if len(lines) > most:
        typer.echo(f"... and {len(lines) - most} more lines")


async def _read_current(settings: CtlSettings) -> PublishedConfiguration:
    store = EtcdStore.from_url(settings.platform.store)
    try:
        return await Publisher(store, settings.author).current()
    finally:
        await store.close()


def _changed_fields(old: dict[str, object], new: dict[str, object]) -> list[str]:
    return [
        f"    {name}: {json.dumps(old.get(name))} -> {json.dumps(new.get(name))}"
        for name in sorted(old.keys() | new.keys())
        if old.get(name) != new.get(name)
    ]
