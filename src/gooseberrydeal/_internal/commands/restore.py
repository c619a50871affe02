"""Publish the fleet's configuration to a store that has lost newer revisions."""

import asyncio

import typer

from gooseberrydeal._internal.commands.common import (
    SettingsOption,
    load_ctl_settings,
    run,
)
from gooseberrydeal._internal.exceptions import ConflictError, PeerUnreachableError
from gooseberrydeal._internal.models.ids import RevisionNumber
from gooseberrydeal._internal.models.settings import CtlSettings
from gooseberrydeal._internal.network.etcd_store import EtcdStore
from gooseberrydeal._internal.operations.fleet_client import FleetClient
from gooseberrydeal._internal.operations.publisher import Publisher
from gooseberrydeal._internal.policy.configuration_chunks import join
from gooseberrydeal._internal.utils.clock import SystemClock

_CONFIGURATION_TIMEOUT_SECONDS = 10.0


def restore(settings: SettingsOption) -> None:
    """Publish the configuration that the fleet uses as a new revision."""
    number = run(_restore(load_ctl_settings(settings)))
    typer.echo(
        f"revision {number} is published with the configuration that the fleet uses"
    )


async def _restore(settings: CtlSettings) -> int:
    store = EtcdStore.from_url(settings.platform.store)
    client = FleetClient(settings, SystemClock())
    try:
        await client.connect()
        async with asyncio.timeout(_CONFIGURATION_TIMEOUT_SECONDS):
            offer, chunks = await client.configuration()
        publisher = Publisher(store, settings.author)
        current = await publisher.current()
        if current.number >= offer.number:
            raise ConflictError(
                f"the platform's store has revision {current.number}, the fleet has "
                f"revision {offer.number}; there is nothing to restore"
            )
        number = RevisionNumber(offer.number + 1)
        return (await publisher.publish(current, join(chunks), number)).number
    except TimeoutError as error:
        raise PeerUnreachableError(
            "the keeper did not send the configuration within "
            f"{_CONFIGURATION_TIMEOUT_SECONDS:g} s"
        ) from error
    finally:
        await client.close()
        await store.close()
