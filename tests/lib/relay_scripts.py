"""Play callers against scripted servers behind a relay."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from tests.lib.relay_world import Caller, RelayWorld
from tests.lib.scripted_server import ReceivedRequest, ScriptedServer, response

Play = Callable[[RelayWorld, Caller], Awaitable[None]]


def id_of(request: ReceivedRequest) -> str:
    return f"X-Request-Id: {request.header('x-request-id')}"


async def echo(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response(request.body, "200 OK", id_of(request), "X-Seal: s1"))


async def broken_stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Break off within the third event."""
    head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{id_of(request)}"
    part = b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\nda"
    writer.write(f"{head}\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
    writer.write(b"%x\r\n%b\r\n" % (len(part), part))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()


async def deny_copy(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Say that the adapter isn't there and the request did not run."""
    writer.write(
        response(
            b"", "421 Misdirected Request", id_of(request), "X-Not-Executed: no model"
        )
    )


def run_relay(
    play: Play,
    plain: list[Any] | None = None,
    engines: list[Any] | None = None,
) -> list[ScriptedServer]:
    """Play against scripted servers and return them, the plain ones first."""
    started: list[ScriptedServer] = []

    async def run() -> None:
        plains = [await ScriptedServer(script).start() for script in plain or []]
        models = [await ScriptedServer(script).start() for script in engines or []]
        started.extend([*plains, *models])
        async with RelayWorld(plains, models) as world:
            caller = await Caller.connect(world)
            await play(world, caller)
            caller.close()
        for server in started:
            await server.stop()

    asyncio.run(run())
    return started
