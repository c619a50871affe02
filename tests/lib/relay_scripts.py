"""Run a caller against scripted servers behind a relay."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from tests.lib.relay_world import Caller, RelayHarness
from tests.lib.scripted_server import ReceivedRequest, ScriptedServer, response

Scenario = Callable[[RelayHarness, Caller], Awaitable[None]]


def request_id_line(request: ReceivedRequest) -> str:
    """Return the header line that repeats the request's id."""
    return f"X-Request-Id: {request.header('x-request-id')}"


async def echo(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer with the request's body."""
    writer.write(
        response(request.body, "200 OK", request_id_line(request), "X-Seal: s1")
    )


async def broken_stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send two events and break off within the third."""
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"{request_id_line(request)}"
    )
    events = b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\nda"
    writer.write(f"{head}\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
    writer.write(b"%x\r\n%b\r\n" % (len(events), events))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()


async def deny_copy(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer that the adapter is not loaded and the request did not run."""
    writer.write(
        response(
            b"",
            "421 Misdirected Request",
            request_id_line(request),
            "X-Not-Executed: no model",
        )
    )


def run_relay(
    scenario: Scenario,
    plain: list[Any] | None = None,
    engines: list[Any] | None = None,
) -> list[ScriptedServer]:
    """Run a scenario against scripted servers; return them, the plain ones first."""
    started: list[ScriptedServer] = []

    async def run() -> None:
        plain_servers = [await ScriptedServer(script).start() for script in plain or []]
        engine_servers = [
            await ScriptedServer(script).start() for script in engines or []
        ]
        started.extend([*plain_servers, *engine_servers])
        async with RelayHarness(plain_servers, engine_servers) as harness:
            caller = await Caller.connect(harness)
            await scenario(harness, caller)
            caller.close()
        for server in started:
            await server.stop()

    asyncio.run(run())
    return started
