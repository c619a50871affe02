"""Show the entry hosts, backend servers, owners and alarms of the fleet."""

import dataclasses

from rich.console import Console
from rich.table import Table

from gooseberrydeal._internal.commands.common import (
    JsonOption,
    SettingsOption,
    load_ctl_settings,
    print_json,
    run,
)
from gooseberrydeal._internal.models.settings import CtlSettings
from gooseberrydeal._internal.operations.fleet_client import FleetClient
from gooseberrydeal._internal.policy.fleet_view import FleetView
from gooseberrydeal._internal.utils.clock import SystemClock


def status(settings: SettingsOption, as_json: JsonOption = False) -> None:
    """Print the state of the fleet as tables or as JSON."""
    view = run(read_view(load_ctl_settings(settings)))
    if as_json:
        print_json(
            {
                "hosts": [dataclasses.asdict(item) for item in view.hosts.values()],
                "servers": [dataclasses.asdict(item) for item in view.servers.values()],
            }
        )
        return
    console = Console()
    console.print(host_table(view))
    console.print(server_table(view))


async def read_view(settings: CtlSettings) -> FleetView:
    """Return one keeper's view of the fleet."""
    client = FleetClient(settings, SystemClock())
    try:
        await client.connect()
        return client.view
    finally:
        await client.close()


def host_table(view: FleetView) -> Table:
    """Return a table of the entry hosts, sorted by name."""
    table = Table(title="entry hosts")
    for name in ("host", "domain", "revision", "state", "platform", "loads", "alarms"):
        table.add_column(name)
    for report in sorted(view.hosts.values(), key=lambda item: item.host):
        table.add_row(
            report.host,
            report.domain,
            str(report.revision),
            "leaving" if report.is_leaving else "serving",
            "reachable" if report.platform_reachable else "UNREACHABLE",
            f"{report.waiting_loads} waiting",
            ", ".join(report.alarms) or "-",
        )
    return table


def server_table(view: FleetView) -> Table:
    """Return a table of the backend servers, sorted by name."""
    table = Table(title="backend servers")
    columns = ("server", "owner", "epoch", "accepts", "running", "queued", "wait")
    for name in (*columns, "slowdown", "adapters"):
        table.add_column(name)
    for report in sorted(view.servers.values(), key=lambda item: item.server):
        table.add_row(
            report.server,
            report.owner,
            str(report.epoch),
            "yes" if report.accepts else "NO",
            f"{report.running}/{report.concurrency}",
            str(report.queued),
            f"{report.wait_seconds:.2f} s",
            f"{report.slowdown:.1f}x",
            str(_count_ready_copies(view, report.server)),
        )
    return table


def _count_ready_copies(view: FleetView, server: str) -> int:
    slots = view.slots.get(server)
    return 0 if slots is None else sum(1 for copy in slots.copies if copy.is_ready)
