"""Publish a configuration document that was reviewed against a base revision."""

import asyncio
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
from gooseberrydeal._internal.models.entries import Entry
from gooseberrydeal._internal.models.settings import CtlSettings
from gooseberrydeal._internal.network.etcd_store import EtcdStore
from gooseberrydeal._internal.operations.fleet_client import FleetClient
from gooseberrydeal._internal.operations.publisher import Publisher
from gooseberrydeal._internal.status_codes import ExitCode
from gooseberrydeal._internal.utils.clock import SystemClock

_POLL_INTERVAL_SECONDS = 0.1


def submit(
    document: DocumentArgument,
    settings: SettingsOption,
    base: Annotated[
        int, typer.Option(help="Base revision that the reviewed diff printed.")
    ],
    rebase: Annotated[
        bool,
        typer.Option(help="Merge with later changes if they concern other entries."),
    ] = False,
    wait: Annotated[
        float,
        typer.Option(help="Seconds to wait until all nodes use it; 0: do not wait."),
    ] = 0.0,
    as_json: JsonOption = False,
) -> None:
    """Publish a configuration, and optionally wait until all nodes use it."""
    entries = load_entries(document)
    checked = load_ctl_settings(settings)
    number = run(_publish(checked, entries, base, allow_rebase=rebase))
    late = run(wait_for_revision(checked, number, wait)) if wait > 0 else []
    if as_json:
        print_json({"revision": number, "late": late})
    else:
        typer.echo(f"revision {number} is published")
        if wait > 0 and not late:
            typer.echo("in force on every node in the keeper's view")
    if late:
        typer.echo(f"not in force yet on: {', '.join(late)}", err=True)
        raise typer.Exit(ExitCode.NOT_ADOPTED)


async def _publish(
    settings: CtlSettings, entries: list[Entry], base: int, *, allow_rebase: bool
) -> int:
    store = EtcdStore.from_url(settings.platform.store)
    try:
        publisher = Publisher(store, settings.author)
        revision = await publisher.submit(entries, base, allow_rebase=allow_rebase)
        return revision.number
    finally:
        await store.close()


async def wait_for_revision(
    settings: CtlSettings, number: int, seconds: float
) -> list[str]:
    """Wait for a revision; return the hosts that do not use it within ``seconds``."""
    client = FleetClient(settings, SystemClock())
    try:
        await client.connect()
        late: list[str] = []
        try:
            async with asyncio.timeout(seconds):
                while late := _hosts_behind(client, number):
                    await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        except TimeoutError:
            return late
        return []
    finally:
        await client.close()


def _hosts_behind(client: FleetClient, number: int) -> list[str]:
    hosts = client.view.hosts.values()
    return sorted(report.host for report in hosts if report.revision < number)
