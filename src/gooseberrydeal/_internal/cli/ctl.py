"""Review and publish the configuration, and inspect the fleet."""

import typer

from gooseberrydeal._internal.commands import (
    check,
    diff,
    drain,
    explain,
    restore,
    status,
    submit,
    top,
    trace,
)

app = typer.Typer(help=__doc__, no_args_is_help=True)

app.command("check", help=check.__doc__)(check.check)
app.command("diff", help=diff.__doc__)(diff.diff)
app.command("submit", help=submit.__doc__)(submit.submit)
app.command("status", help=status.__doc__)(status.status)
app.command("explain", help=explain.__doc__)(explain.explain)
app.command("drain", help=drain.__doc__)(drain.drain)
app.command("restore", help=restore.__doc__)(restore.restore)
app.command("top", help=top.__doc__)(top.top)
app.command("trace", help=trace.__doc__)(trace.trace)


def main() -> None:
    """Run ``gooseberry-ctl``."""
    app()
