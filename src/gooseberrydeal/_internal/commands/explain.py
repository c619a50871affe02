"""Tell where an adapter is and why, or what became of a request."""

from typing import Annotated

import typer

from gooseberrydeal._internal.commands.common import (
    JsonOption,
    SettingsOption,
    print_json,
    run,
    settings_of,
)
from gooseberrydeal._internal.models.messages.explain_reply import ExplainReply
from gooseberrydeal._internal.models.settings import CtlSettings
from gooseberrydeal._internal.operations.fleet_client import FleetClient
from gooseberrydeal._internal.policy.fleet_view import FleetView
from gooseberrydeal._internal.utils.clock import SystemClock


def explain(
    subject: Annotated[str, typer.Argument(help="Adapter, or request id.")],
    settings: SettingsOption,
    as_json: JsonOption = False,
) -> None:
    """Explain an adapter or a request."""
    view, replies = run(_ask(settings_of(settings), subject))
    places = _places(view, subject)
    lines = sorted(line for reply in replies for line in _with_host(reply))
    if as_json:
        print_json({"subject": subject, "places": places, "events": lines})
        return
    for place in places:
        typer.echo(place)
    for line in lines:
        typer.echo(line)
    if not places and not lines:
        typer.echo("nothing is known; it is not loaded and was not seen lately")


async def _ask(
    settings: CtlSettings, subject: str
) -> tuple[FleetView, list[ExplainReply]]:
    client = FleetClient(settings, SystemClock())
    try:
        await client.connect()
        return client.view, await client.explain(subject)
    finally:
        await client.close()


def _places(view: FleetView, subject: str) -> list[str]:
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


def _with_host(reply: ExplainReply) -> list[str]:
    return [f"{line} ({reply.host})" for line in reply.lines]
