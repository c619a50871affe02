"""Show the state of the fleet, continuously updated."""

import asyncio
import contextlib
from typing import Annotated

import typer
from rich.console import Group
from rich.live import Live

from gooseberrydeal._internal.commands.common import (
    SettingsOption,
    load_ctl_settings,
    run,
)
from gooseberrydeal._internal.commands.status import host_table, server_table
from gooseberrydeal._internal.models.settings import CtlSettings
from gooseberrydeal._internal.operations.fleet_client import FleetClient
from gooseberrydeal._internal.utils.clock import SystemClock

_REFRESH_INTERVAL_SECONDS = 0.5


def top(
    settings: SettingsOption,
    seconds: Annotated[
        float, typer.Option(help="Seconds to run; 0: until interrupted.")
    ] = 0.0,
) -> None:
    """Refresh the tables of the fleet until time is up or on Ctrl-C."""
    with contextlib.suppress(KeyboardInterrupt):
        run(_refresh(load_ctl_settings(settings), seconds))


async def _refresh(settings: CtlSettings, seconds: float) -> None:
    client = FleetClient(settings, SystemClock())
    try:
        await client.connect()
        with Live(refresh_per_second=2) as live:
            remaining_seconds = seconds or float("inf")
            while remaining_seconds > 0:
                view = client.view
                live.update(Group(host_table(view), server_table(view)))
                await asyncio.sleep(_REFRESH_INTERVAL_SECONDS)
                remaining_seconds -= _REFRESH_INTERVAL_SECONDS
    finally:
        await client.close()
