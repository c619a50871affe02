"""Drain a backend server, so that it gets no new requests."""

from typing import Annotated

import typer

from gooseberrydeal._internal.commands.common import (
    SettingsOption,
    load_ctl_settings,
    run,
)
from gooseberrydeal._internal.exceptions import DeclarationError
from gooseberrydeal._internal.models.ids import EntryKey, RevisionNumber
from gooseberrydeal._internal.models.settings import CtlSettings
from gooseberrydeal._internal.network.etcd_store import EtcdStore
from gooseberrydeal._internal.operations.publisher import Publisher


def drain(
    server: Annotated[str, typer.Argument(help="Name of the backend server.")],
    settings: SettingsOption,
    undo: Annotated[
        bool, typer.Option(help="Put the server back into service.")
    ] = False,
) -> None:
    """Publish a revision in which the server is leaving, or serving again."""
    state = "serving" if undo else "leaving"
    number = run(_set_state(load_ctl_settings(settings), server, state))
    typer.echo(f"revision {number}: {server} is {state}")
    typer.echo(
        "also change the server's declaration: otherwise the next submit reverts this"
    )


async def _set_state(settings: CtlSettings, server: str, state: str) -> int:
    store = EtcdStore.from_url(settings.platform.store)
    try:
        publisher = Publisher(store, settings.author)
        current = await publisher.current()
        key = EntryKey(f"server/{server}")
        if key not in current.entries:
            raise DeclarationError(
                [f"{key} is not declared; gooseberry-ctl status lists the servers"]
            )
        entries = dict(current.entries)
        entries[key] = {**entries[key], "state": state}
        number = RevisionNumber(current.number + 1)
        return (await publisher.publish(current, entries, number)).number
    finally:
        await store.close()
