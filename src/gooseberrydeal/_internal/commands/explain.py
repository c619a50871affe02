"""Show where an adapter is loaded and why, or what happened to a request."""

from typing import Annotated

import typer

from gooseberrydeal._internal.commands.common import (
    JsonOption,
    SettingsOption,
    load_ctl_settings,
    print_json,
    run,
)
from gooseberrydeal._internal.models.messages.explain_reply import ExplainReply
from gooseberrydeal._internal.models.settings import CtlSettings
from gooseberrydeal._internal.operations.fleet_client import FleetClient
from gooseberrydeal._internal.policy.fleet_view import FleetView
from gooseberrydeal._internal.utils.clock import SystemClock


def explain(
    subject: Annotated[
        str, typer.Argument(help="Adapter as NAME or NAME@VERSION, or request id.")
    ],
    settings: SettingsOption,
    as_json: JsonOption = False,
) -> None:
    """Print the copies of an adapter, and the recent events on the subject."""
    view, replies = run(_query_fleet(load_ctl_settings(settings), subject))
    locations = _list_copies(view, subject)
    lines = sorted(line for reply in replies for line in _lines_with_host(reply))
    if as_json:
        print_json({"subject": subject, "places": locations, "events": lines})
        return
    for location in locations:
        typer.echo(location)
    for line in lines:
        typer.echo(line)
    if not locations and not lines:
        typer.echo(f"no adapter copies or recent events found for {subject}")


async def _query_fleet(
    settings: CtlSettings, subject: str
) -> tuple[FleetView, list[ExplainReply]]:
    client = FleetClient(settings, SystemClock())
    try:
        await client.connect()
        return client.view, await client.explain(subject)
    finally:
        await client.close()


def _list_copies(view: FleetView, subject: str) -> list[str]:
    name, _, version = subject.partition("@")
    return [
        f"{copy.adapter}@{copy.version} is "
        f"{'ready' if copy.is_ready else 'loading'} on {report.server}, "
        f"owner {view.servers[report.server].owner}"
        for report in sorted(view.slots.values(), key=lambda item: item.server)
        if report.server in view.servers
        for copy in report.copies
        if copy.adapter == name and version in ("", copy.version)
    ]


def _lines_with_host(reply: ExplainReply) -> list[str]:
    return [f"{line} ({reply.host})" for line in reply.lines]
